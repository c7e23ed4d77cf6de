#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "exchange_fakes.h"
#include "modules/proxy/ingress.h"

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

/// Moment at which the configuration withdraws the key of the request.
enum class withdrawal : std::uint8_t { before_arrival, while_body_is_read, after_attempt, never };

/// A body whose first read withdraws the key.
class withdrawing_body final : public body_reader {
public:
    explicit withdrawing_body(bool* withdrawn) : withdrawn_(withdrawn) {}

    awaitable<absl::StatusOr<std::size_t>> read_some(std::span<std::byte> buffer) override {
        if (withdrawn_ != nullptr) {
            *withdrawn_ = true;
        }
        co_return co_await text_.read_some(buffer);
    }
    [[nodiscard]] std::size_t consumed() const { return text_.consumed(); }

private:
    chunked_text_body text_{"a deposit of 40 reais"};
    bool* withdrawn_;
};

/// Targets t1 to t3, whose attempts have scripted results: an error kind, or a status of an answer.
struct scripted_targets {
    manual_time_source clock;
    std::vector<std::pair<error_kind, unsigned>> script;
    bool withdraws_after_attempt = false;
    bool withdrawn = false;
    std::vector<std::string> accounts_at_targets;
    std::vector<std::string> calls;

    ingress_hooks hooks() {
        ingress_hooks result;
        result.find_route = [this](const request_head& head) -> std::optional<route_decision> {
            calls.emplace_back("find_route");
            if (head.path == "/none") {
                return std::nullopt;
            }
            return route_decision{
                .service = "contratos", .non_idempotent = false, .timeout = 100ms, .rank = 4};
        };
        result.check_account = [this](const request_head& received, const route_decision& route,
                                      request_head& head) {
            calls.emplace_back("check_account");
            BOOST_TEST(route.rank == 4U);
            BOOST_TEST(received.account == "claimed");
            if (withdrawn) {
                return refusal{error_kind::unauthenticated, "unknown key", std::nullopt};
            }
            head.account = "pulo780";
            return refusal{};
        };
        result.admit_while_stopping = [this](const request_head&) {
            calls.emplace_back("admit_while_stopping");
            return refusal{};
        };
        result.admit = [](const request_head&) { return refusal{}; };
        result.choose = [](const request_head&, std::span<const std::string> tried) {
            choice_or_refusal<route_choice> chosen;
            chosen.choice =
                route_choice{{"t" + std::to_string(tried.size() + 1), 1}, "n1", true, {}, "test", nullptr};
            return chosen;
        };
        result.dispatch = [this](const route_choice&, const request_head& head, body_reader& body,
                                 response_writer& writer) { return answer(head, body, writer); };
        result.may_retry = [](const request_head&, const exchange_result&, std::uint32_t) { return true; };
        result.attempt_ended = [](const attempt_report&) {};
        result.exchange_ended = [](const ingress_report&) {};
        return result;
    }

    awaitable<exchange_result> answer(const request_head& head, body_reader& body, response_writer& writer) {
        const auto [error, status] = script.at(accounts_at_targets.size());
        accounts_at_targets.push_back(head.account);
        withdrawn = withdrawn || withdraws_after_attempt;
        (void)co_await read_all(body);
        if (error != error_kind::none) {
            co_return failed_exchange(error, "scripted");
        }
        response_head answer_head;
        answer_head.status = status;
        (void)co_await writer.write_head(answer_head);
        (void)co_await writer.finish();
        co_return exchange_result{};
    }
};

request_head caller_request(const manual_time_source& clock, std::string path = "/deposits") {
    request_head head;
    head.method = "POST";
    head.path = std::move(path);
    head.has_body = true;
    head.account = "claimed";
    head.deadline = clock.now() + 1h;
    return head;
}

struct withdrawal_case {
    std::string name;
    withdrawal moment;
    std::vector<std::pair<error_kind, unsigned>> script;
    error_kind expected;
    execution_state execution;
    std::size_t attempts;
    unsigned status = 0;  ///< Of the answer that the caller gets from a target.
};

std::ostream& operator<<(std::ostream& out, const withdrawal_case& value) {
    return out << value.name;
}

constexpr std::pair<error_kind, unsigned> answered{error_kind::none, 200};

const std::vector<withdrawal_case> withdrawal_cases{
    {"known key", withdrawal::never, {answered}, error_kind::none, execution_state::run, 1, 200},
    {"known key, second attempt",
     withdrawal::never,
     {{error_kind::overloaded, 0}, answered},
     error_kind::none,
     execution_state::run,
     2,
     200},
    {"unknown key",
     withdrawal::before_arrival,
     {answered},
     error_kind::unauthenticated,
     execution_state::not_run,
     0},
    {"withdrawn while the body is read",
     withdrawal::while_body_is_read,
     {answered},
     error_kind::unauthenticated,
     execution_state::not_run,
     0},
    {"withdrawn after an attempt that did not run",
     withdrawal::after_attempt,
     {{error_kind::overloaded, 0}, answered},
     error_kind::unauthenticated,
     execution_state::not_run,
     1},
    {"withdrawn after an attempt that may have run",
     withdrawal::after_attempt,
     {{error_kind::outcome_unknown, 0}, answered},
     error_kind::outcome_unknown,
     execution_state::unknown,
     1},
    {"withdrawn after a failure answer of a target",
     withdrawal::after_attempt,
     {{error_kind::none, 500}, answered},
     error_kind::none,
     execution_state::run,
     1,
     500},
    {"withdrawn while the target ran the request",
     withdrawal::after_attempt,
     {answered},
     error_kind::none,
     execution_state::run,
     1,
     200},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(ingress_accounts)

// Guards against a request that is sent after its key was withdrawn, and against one that a target may have
// run and that is answered as not run.
BOOST_DATA_TEST_CASE(withdrawn_keys_end_waiting_requests, boost::unit_test::data::make(withdrawal_cases),
                     row) {
    scripted_targets targets;
    targets.script = row.script;
    targets.withdrawn = row.moment == withdrawal::before_arrival;
    targets.withdraws_after_attempt = row.moment == withdrawal::after_attempt;
    ingress_options options;
    options.max_buffered_answer_bytes = 1'024;
    ingress entry(targets.clock, options, targets.hooks());
    withdrawing_body body(row.moment == withdrawal::while_body_is_read ? &targets.withdrawn : nullptr);
    recording_writer answer;
    const exchange_result result =
        run_until_complete(entry.exchange(caller_request(targets.clock), body, answer));
    BOOST_TEST(get_error_answer(result.error).name == get_error_answer(row.expected).name);
    BOOST_TEST((result.execution == row.execution));
    BOOST_TEST(targets.accounts_at_targets.size() == row.attempts);
    for (const std::string& account : targets.accounts_at_targets) {
        BOOST_TEST(account == "pulo780");
    }
    BOOST_TEST((answer.head() ? answer.head()->status : 0) == row.status);
}

// Guards against a body that is read, or a stop of the node that is reported, before the key is checked.
BOOST_AUTO_TEST_CASE(an_unknown_key_ends_a_request_before_its_body) {
    scripted_targets targets;
    targets.withdrawn = true;
    ingress entry(targets.clock, {}, targets.hooks());
    withdrawing_body body(nullptr);
    recording_writer answer;
    const exchange_result result =
        run_until_complete(entry.exchange(caller_request(targets.clock), body, answer));
    BOOST_TEST((result.error == error_kind::unauthenticated));
    BOOST_TEST(!result.retry_after.has_value());
    BOOST_TEST(body.consumed() == 0U);
    BOOST_TEST(targets.calls == (std::vector<std::string>{"find_route", "check_account"}),
               boost::test_tools::per_element());
}

// Guards against 401 where a node without a configuration has to answer 503 and an unknown route 404.
BOOST_AUTO_TEST_CASE(readiness_and_route_come_before_the_key) {
    scripted_targets targets;
    targets.withdrawn = true;
    ingress_hooks hooks = targets.hooks();
    bool ready = true;
    hooks.check_ready = [&ready] {
        return ready ? refusal{} : refusal{error_kind::not_ready, "no configuration", std::nullopt};
    };
    ingress entry(targets.clock, {}, hooks);
    for (const bool is_ready : {true, false}) {
        ready = is_ready;
        withdrawing_body body(nullptr);
        recording_writer answer;
        const exchange_result result =
            run_until_complete(entry.exchange(caller_request(targets.clock, "/none"), body, answer));
        BOOST_TEST((result.error == (is_ready ? error_kind::no_route : error_kind::not_ready)));
    }
    BOOST_TEST(targets.calls == (std::vector<std::string>{"find_route"}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
