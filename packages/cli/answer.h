// Reads what the server answers: errors, verdicts and the lines of a pipeline's answer.
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

// An error answer, or a failure of the connection in the same terms.
struct server_error
{
    std::string why; // reason by name; newer servers may know more reasons than this program
    verdict outcome = verdict::may_have_run;
    std::string message;
    std::string request;
    std::vector<std::string> problems;
    std::optional<std::uint64_t> current_version;
    bool unreachable = false;
};

// How a request relates to the state of the deployment; decides what an unclear failure means.
enum class request_effect
{
    reads, // changes nothing, whatever happens
    changes
};

// Reads the error of an answer whose status is not 2xx. An answer that is not in the documented
// form, such as one of a load balancer, says nothing about the work: may_have_run for a change.
server_error read_error(const client_reply& reply, request_effect effect);

// Turns a failure of the HTTP client into an error.
server_error read_error(const failure& failed, request_effect effect);

exit_code exit_code_of(const server_error& error);

// Text for people: reason, verdict, message, and what to do next.
std::string describe(const server_error& error);

// The same as the JSON document of an error answer.
std::string to_json(const server_error& error);

// Checks the lines of a pipeline's answer: tokens without gap or repeat, then one last line. A cut
// or inconsistent answer is never taken for a whole one.
class answer_reader
{
public:
    // Takes a line; returns the text of a token, which is empty for the last line.
    std::string take(std::string_view line);

    // True once nothing more may follow: the end, an error line, or a line that does not fit.
    bool is_finished() const { return finished_; }

    // The error of the answer; none when it is whole. Call it when the connection has ended.
    std::optional<server_error> error() const;

    // Summary of the stages for people, available for a whole answer.
    const std::string& stages() const { return stages_; }

private:
    std::string reject(reason why, std::string message);

    std::uint64_t next_index_ = 0;
    bool finished_ = false;
    bool whole_ = false;
    std::optional<server_error> error_;
    std::string stages_;
};

} // namespace zinnianotch
