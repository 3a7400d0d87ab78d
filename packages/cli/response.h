// Parses server responses: errors with their verdict, and the token stream of a pipeline.
#pragma once

#include "cli/arguments.h"
#include "state/verdict.h"
#include "transport/http_client.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinnianotch
{

// A request that did not succeed: an error response of the server, or a transport failure expressed
// in the same fields.
struct request_error
{
    // Name of the reason. A string, because newer servers may send reasons unknown to this program.
    std::string reason_name;
    verdict outcome = verdict::may_have_run;
    std::string message;
    std::string request_id;
    std::vector<std::string> problems;
    std::optional<std::uint64_t> current_version;
    bool unreachable = false; // the transport failed and the request had no effect
};

// Whether a request can change the state of the deployment. A read-only request can always be
// retried: its verdict is not_run unless the server states another one.
enum class request_effect
{
    read_only,
    modifying
};

// Parses the error of a response whose status is not 2xx. A response in another format, such as an
// error page of a load balancer, does not state whether the request was executed: the verdict is
// may_have_run for a modifying request.
request_error to_request_error(const client_reply& reply, request_effect effect);

// Converts a failure of the HTTP client. The verdict is that of the failure for a modifying
// request, and not_run for a read-only one.
request_error to_request_error(const failure& failed, request_effect effect);

exit_code exit_code_of(const request_error& error);

// Human-readable text: reason, verdict, message, request id, problems of the configuration and the
// version in effect.
std::string describe(const request_error& error);

// The error as JSON, in the format of an error response of the server.
std::string to_json(const request_error& error);

// Parses and validates the lines of a pipeline response: tokens with consecutive indices, then one
// final line. Reports an error for a truncated or inconsistent response.
class pipeline_response_reader
{
public:
    // Parses the next line. Returns the text of a token; an empty string for the final line and for
    // a line that is an error.
    std::string parse_line(std::string_view line);

    // True after the final line, an error line or an invalid line.
    bool is_finished() const { return finished_; }

    // The error of the response; none if it is complete. Call it after the connection has ended.
    std::optional<request_error> error() const;

    // Human-readable time and attempts of each stage, available if the response is complete.
    const std::string& stage_summary() const { return stage_summary_; }

private:
    std::string reject(reason why, std::string message);

    std::uint64_t next_token_index_ = 0;
    bool finished_ = false;
    bool complete_ = false;
    std::optional<request_error> error_;
    std::string stage_summary_;
};

} // namespace zinnianotch
