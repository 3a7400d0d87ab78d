#include "transport/message_parser.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <array>

namespace zinnianotch
{

namespace
{

constexpr std::array<std::string_view, 9> hop_by_hop_fields = {
    "connection",        "keep-alive", "proxy-authenticate", "proxy-authorization", "te", "trailer",
    "transfer-encoding", "upgrade",    "proxy-connection"};

// Status codes outside of this range are invalid (RFC 9110, section 15).
constexpr int status_min = 100;
constexpr int status_max = 599;

boost::beast::string_view to_beast(std::string_view text)
{
    return {text.data(), text.size()};
}

// True if one of the lines continues the line before it (RFC 9112, section 5.2).
bool has_folded_line(std::string_view lines)
{
    return lines.find("\r\n ") != std::string_view::npos ||
           lines.find("\r\n\t") != std::string_view::npos;
}

} // namespace

bool equals_ignore_case(std::string_view a, std::string_view b)
{
    return boost::beast::iequals(to_beast(a), to_beast(b));
}

std::optional<std::string_view> find_field(const message_head& head, std::string_view name)
{
    for (const header_field& field : head.fields)
    {
        if (equals_ignore_case(field.name, name))
            return field.value;
    }
    return std::nullopt;
}

bool is_hop_by_hop_field(std::string_view name)
{
    for (const std::string_view known : hop_by_hop_fields)
    {
        if (equals_ignore_case(name, known))
            return true;
    }
    return false;
}

template <message_kind Kind>
message_parser<Kind>::message_parser(std::uint32_t header_limit, std::uint64_t body_limit)
{
    this->header_limit(header_limit);
    this->body_limit(body_limit);
    // Keeps apart what calls of put() consume: lines of the head or the trailer, or the body.
    this->eager(false);
}

template <message_kind Kind>
std::size_t message_parser<Kind>::feed(std::string_view bytes, error_code& error)
{
    namespace http = boost::beast::http;
    std::size_t consumed = 0;
    while (consumed < bytes.size() && !finished_)
    {
        const std::string_view rest = bytes.substr(consumed);
        const bool in_head = !head_done_;
        const std::size_t count = this->put(boost::asio::buffer(rest.data(), rest.size()), error);
        consumed += count;
        const bool needs_more = error == http::error::need_more;
        if (needs_more)
            error = {};
        // The line may be a field whose name was damaged, for example the length of the body.
        if (Kind == message_kind::response && !error && (in_head || in_trailer_) &&
            has_folded_line(rest.substr(0, count)))
            error = http::error::bad_obs_fold;
        if (error || needs_more || count == 0)
            return consumed;
    }
    return consumed;
}

template <message_kind Kind>
void message_parser<Kind>::feed_eof(error_code& error)
{
    if (finished_)
        return;
    if (!this->got_some())
    {
        error = boost::beast::http::error::end_of_stream;
        return;
    }
    this->put_eof(error);
}

template <message_kind Kind>
void message_parser<Kind>::on_request_impl(boost::beast::http::verb, beast_view method_name,
                                           beast_view target, int version, error_code&)
{
    head.method = std::string(method_name);
    head.target = std::string(target);
    head.version = version;
}

template <message_kind Kind>
void message_parser<Kind>::on_response_impl(int code, beast_view reason_phrase, int version,
                                            error_code& error)
{
    if (code < status_min || code > status_max)
    {
        error = boost::beast::http::error::bad_status;
        return;
    }
    head.status = code;
    head.reason_phrase = std::string(reason_phrase);
    head.version = version;
}

template <message_kind Kind>
void message_parser<Kind>::on_field_impl(boost::beast::http::field, beast_view name_text,
                                         beast_view value, error_code&)
{
    head.fields.push_back({std::string(name_text), std::string(value)});
}

template <message_kind Kind>
void message_parser<Kind>::on_header_impl(error_code& error)
{
    head_done_ = true;
    // The end of a body in another coding is not known: what follows could be read as a message of
    // its own. Two codings are either that or chunks within chunks.
    const auto is_coding = [](const header_field& field)
    { return equals_ignore_case(field.name, "Transfer-Encoding"); };
    const auto codings = std::count_if(head.fields.begin(), head.fields.end(), is_coding);
    const auto coding = find_field(head, "Transfer-Encoding");
    if (codings > 1 || (coding && !equals_ignore_case(*coding, "chunked")))
    {
        error = boost::beast::http::error::bad_transfer_encoding;
        return;
    }
    if (this->chunked())
        framing_ = body_framing::chunked;
    else if (const auto length = base::content_length())
    {
        framing_ = body_framing::length;
        length_ = *length;
    }
    else if (Kind == message_kind::response)
        framing_ = body_framing::until_close;
}

template <message_kind Kind>
void message_parser<Kind>::on_body_init_impl(const boost::optional<std::uint64_t>&, error_code&)
{
}

template <message_kind Kind>
std::size_t message_parser<Kind>::on_body_impl(beast_view bytes, error_code&)
{
    body.append(bytes.data(), bytes.size());
    return bytes.size();
}

template <message_kind Kind>
void message_parser<Kind>::on_chunk_header_impl(std::uint64_t size, beast_view, error_code&)
{
    in_trailer_ = size == 0;
}

template <message_kind Kind>
std::size_t message_parser<Kind>::on_chunk_body_impl(std::uint64_t, beast_view bytes, error_code&)
{
    body.append(bytes.data(), bytes.size());
    return bytes.size();
}

template <message_kind Kind>
void message_parser<Kind>::on_finish_impl(error_code&)
{
    finished_ = true;
}

template class message_parser<message_kind::request>;
template class message_parser<message_kind::response>;

} // namespace zinnianotch
