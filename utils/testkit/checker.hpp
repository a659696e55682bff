/// \file
/// Checks of the load tool: is an answer whole and the caller's own, and do the answers agree with what the
/// endpoints say they ran.
#pragma once

#include "testkit/scenario.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace limpetlock::testkit {

/// How one request ended. wrong, doubled and shortened are broken promises: an answer that was given as whole
/// is not the caller's own, has a token twice, or lacks some.
enum class verdict { whole, refused, failed, cut, wrong, doubled, shortened };

const char* to_text(verdict it);

/// The answer that a pipeline request must get.
struct expected_answer {
    std::string text;        ///< output of the last stage
    std::string last_prompt; ///< input of the last stage
    std::int64_t tokens{0};  ///< of the last stage; 0 when that is not an engine
    std::map<std::string, std::int64_t>
        work_units; ///< work units by call name and input digest of each stage
};

expected_answer expected_pipeline_answer(const nlohmann::json& pipeline, const std::string& input,
                                         std::int64_t max_tokens);

/// Key of expected_answer::work.
std::string work_key(const std::string& call, const std::string& input_digest);

/// Judges an answer without stream by its text.
verdict check_text(const std::string& expected, const std::string& got);

/// Judges a streamed answer token by token.
class stream_checker {
public:
    explicit stream_checker(const expected_answer& expected) : expected_(expected) {}

    void check_token(std::int64_t index, const std::string& text);

    /// The verdict when the stream ended with "done" and its count of tokens.
    verdict finish(std::int64_t tokens);

    /// The verdict when it ended with an error or without an end: a fault that was seen before stays.
    verdict interrupted(verdict otherwise) const { return fault_ == verdict::whole ? otherwise : fault_; }

private:
    const expected_answer& expected_;
    std::int64_t next_{0};
    verdict fault_{verdict::whole};
};

/// One try of a request.
struct attempt {
    std::string instance;
    int status{0};    ///< 0: no answer
    std::string code; ///< error code of the answer, or of the client
    std::string ran;  ///< "no" or "unknown" in a refusal
    std::int64_t sent_ms{0};
    std::int64_t answered_ms{0};
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(attempt, instance, status, code, ran, sent_ms, answered_ms)

struct request_result {
    arrival request;
    verdict outcome{verdict::failed};
    bool attained{false}; ///< whole and inside the deadline
    std::chrono::steady_clock::time_point started;
    double send_delay_ms{0}; ///< how late the load tool itself was
    double latency_ms{0};
    double first_token_ms{-1}; ///< from the start of the request; below 0: none
    std::vector<double> gaps_ms;
    std::vector<attempt> attempts;
};

nlohmann::json to_json_line(const request_result& it);

/// Endpoint time by call name in seconds.
struct stage_cost {
    double useful_s{0};
    double repeated_s{0};  ///< beyond what a whole answer needs: retries, hedges, tokens generated twice
    double abandoned_s{0}; ///< for requests that did not get a whole answer
};

struct evaluation {
    std::map<std::string, std::int64_t> counts;
    std::vector<std::string> violations; ///< one line for each broken promise
    std::map<std::string, stage_cost> stages;
};

/// Joins the results with the runs of all endpoints ("runs" of GET /control/runs). Without runs only the
/// answers are judged. With strict_cuts a stream without an end counts as a broken promise as well.
evaluation evaluate(const std::vector<request_result>& results, const nlohmann::json& deployment,
                    const std::vector<nlohmann::json>& runs, bool have_runs, bool strict_cuts);

} // namespace limpetlock::testkit
