// Incremental parser of HTTP/1.1 messages for the event-driven server and client, based on
// Boost.Beast's basic_parser.
#pragma once

#include <boost/beast/http/basic_parser.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace zinnianotch
{

struct header_field
{
    std::string name;
    std::string value;
};

// Start line and header fields of a request or a response.
struct message_head
{
    std::string method;        // requests only
    std::string target;        // requests only
    int status = 0;            // responses only
    std::string reason_phrase; // responses only
    int version = 11;          // 10 for HTTP/1.0, 11 for HTTP/1.1
    std::vector<header_field> fields;
};

// Value of the first field with this name, compared without regard to case; nullopt when absent.
std::optional<std::string_view> find_field(const message_head& head, std::string_view name);

// Compares without regard to ASCII case, as HTTP does for field names and many field values.
bool equals_ignore_case(std::string_view a, std::string_view b);

// True for hop-by-hop fields, which concern a single connection and are not forwarded.
bool is_hop_by_hop_field(std::string_view name);

enum class message_kind
{
    request,
    response
};

// How the end of a message body is determined.
enum class body_framing
{
    none,
    length,
    chunked,
    until_close
};

// Feeds received bytes to Beast's parser and collects the head and the body. The owner may take
// bytes out of `body` at any time.
template <message_kind Kind>
class message_parser : private boost::beast::http::basic_parser<Kind == message_kind::request>
{
    using base = boost::beast::http::basic_parser<Kind == message_kind::request>;

public:
    message_parser(std::uint32_t header_limit, std::uint64_t body_limit);

    // Parses as much as possible and returns the number of bytes consumed. Stops at the end of the
    // message. Sets `error` when the bytes are not a valid message or exceed a limit.
    std::size_t feed(std::string_view bytes, boost::beast::error_code& error);

    // Call when the peer has closed the connection. Sets `error` when the message is incomplete.
    void feed_eof(boost::beast::error_code& error);

    // For responses without a body regardless of their header, such as those to HEAD.
    void expect_no_body() { this->skip(true); }

    bool started() const { return this->got_some(); }
    bool head_done() const { return head_done_; }
    bool done() const { return finished_; }
    bool keep_alive() const { return base::keep_alive(); }
    body_framing framing() const { return framing_; }
    std::optional<std::uint64_t> content_length() const { return length_; }

    message_head head;
    std::string body;

private:
    using error_code = boost::beast::error_code;
    using beast_view = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb method, beast_view method_name, beast_view target,
                         int version, error_code& error) override;
    void on_response_impl(int code, beast_view reason_phrase, int version,
                          error_code& error) override;
    void on_field_impl(boost::beast::http::field name, beast_view name_text, beast_view value,
                       error_code& error) override;
    void on_header_impl(error_code& error) override;
    void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                           error_code& error) override;
    std::size_t on_body_impl(beast_view bytes, error_code& error) override;
    void on_chunk_header_impl(std::uint64_t size, beast_view extensions,
                              error_code& error) override;
    std::size_t on_chunk_body_impl(std::uint64_t remain, beast_view bytes,
                                   error_code& error) override;
    void on_finish_impl(error_code& error) override;

    bool head_done_ = false;
    bool in_trailer_ = false; // after the last chunk
    bool finished_ = false;
    body_framing framing_ = body_framing::none;
    std::optional<std::uint64_t> length_;
};

extern template class message_parser<message_kind::request>;
extern template class message_parser<message_kind::response>;

} // namespace zinnianotch
