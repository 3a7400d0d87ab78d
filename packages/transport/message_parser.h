// Incremental parser of HTTP/1.1 messages for the event-driven path, on Boost.Beast's parser.
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

// Start line and header of a request or an answer.
struct message_head
{
    std::string method; // requests only
    std::string target; // requests only
    int status = 0;     // answers only
    std::string phrase; // answers only
    int version = 11;   // 10 or 11
    std::vector<header_field> fields;
};

// Value of the first field of this name, without regard to case; nothing when there is none.
std::optional<std::string_view> find_field(const message_head& head, std::string_view name);

bool equal_names(std::string_view a, std::string_view b);

// True for fields that concern one connection only and are not passed on.
bool is_connection_field(std::string_view name);

enum class message_kind
{
    request,
    answer
};

// How the end of a message's body is recognized.
enum class body_framing
{
    none,
    length,
    chunked,
    until_close
};

// Feeds bytes to Beast's parser and collects what it found. The owner takes body bytes out of
// `body` as it likes.
template <message_kind Kind>
class message_parser : private boost::beast::http::basic_parser<Kind == message_kind::request>
{
    using base = boost::beast::http::basic_parser<Kind == message_kind::request>;

public:
    message_parser(std::uint32_t header_limit, std::uint64_t body_limit);

    // Parses as much as possible and returns the number of bytes used. Stops after the end of one
    // message. Sets `error` when the bytes are no valid message.
    std::size_t feed(std::string_view bytes, boost::beast::error_code& error);

    // The peer closed the connection. Sets `error` when the message is not complete.
    void feed_end(boost::beast::error_code& error);

    // For answers without a body whatever their header says, such as those to HEAD.
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
    void on_response_impl(int code, beast_view phrase, int version, error_code& error) override;
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
    bool finished_ = false;
    body_framing framing_ = body_framing::none;
    std::optional<std::uint64_t> length_;
};

extern template class message_parser<message_kind::request>;
extern template class message_parser<message_kind::answer>;

} // namespace zinnianotch
