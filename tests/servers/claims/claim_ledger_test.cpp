#include "servers/claims/claim_ledger.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

const slot_id slot{"contratos", 3};
constexpr std::uint64_t order = 11;
constexpr std::uint64_t other_order = 12;

stored_answer answer_with(std::string body) {
    stored_answer answer;
    answer.head.status = 201;
    answer.head.headers = {{"Content-Type", "text/plain"}};
    answer.body = std::move(body);
    return answer;
}

enum class past { nothing, running, finished, finished_large, unknown, not_run };

void bring_to(claim_ledger& ledger, past state) {
    if (state == past::nothing) {
        return;
    }
    const claim_token token = ledger.claim(slot, "k", order, 1).token;
    switch (state) {
        case past::finished:
            ledger.finish(slot, "k", token, answer_with("ok"));
            break;
        case past::finished_large:
            ledger.finish(slot, "k", token, answer_with(std::string(16 * 1024 + 1, 'x')));
            break;
        case past::unknown:
            ledger.end_unknown(slot, "k", token);
            break;
        case past::not_run:
            ledger.end_not_run(slot, "k", token);
            break;
        default:
            break;
    }
}

struct claim_case {
    const char* name;
    past state;
    std::uint64_t fingerprint;
    claim_action action;
    error_kind error;
    bool has_answer;
};

std::ostream& operator<<(std::ostream& out, const claim_case& value) {
    return out << value.name;
}

constexpr claim_case claim_cases[] = {
    {"new key", past::nothing, order, claim_action::run, error_kind::none, false},
    {"running", past::running, order, claim_action::join, error_kind::none, false},
    {"running, other request", past::running, other_order, claim_action::refuse, error_kind::key_conflict,
     false},
    {"finished", past::finished, order, claim_action::replay, error_kind::none, true},
    {"finished, other request", past::finished, other_order, claim_action::refuse, error_kind::key_conflict,
     false},
    {"finished, answer too large", past::finished_large, order, claim_action::replay, error_kind::none,
     false},
    {"unknown", past::unknown, order, claim_action::refuse, error_kind::key_in_doubt, false},
    {"unknown, other request", past::unknown, other_order, claim_action::refuse, error_kind::key_conflict,
     false},
    {"not run", past::not_run, order, claim_action::run, error_kind::none, false},
    {"not run, other request", past::not_run, other_order, claim_action::run, error_kind::none, false},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(claim_ledger_decisions)

// Guards against a second run of a key, and against the answer of one request given to another.
BOOST_DATA_TEST_CASE(second_send_of_a_key, claim_cases, sample) {
    manual_time_source clock;
    claim_ledger ledger(clock, {});
    bring_to(ledger, sample.state);
    const claim_decision found = ledger.claim(slot, "k", sample.fingerprint, 2);
    BOOST_TEST((found.action == sample.action));
    BOOST_TEST((found.error == sample.error));
    BOOST_TEST((found.answer != nullptr) == sample.has_answer);
}

// Guards against joiners that are never told, or told after they left.
BOOST_AUTO_TEST_CASE(joiners_get_the_answer) {
    manual_time_source clock;
    claim_ledger ledger(clock, {});
    const claim_token token = ledger.claim(slot, "k", order, 1).token;
    for (joiner_id joiner = 2; joiner <= 4; ++joiner) {
        ledger.claim(slot, "k", order, joiner);
    }
    ledger.leave(slot, "k", 3);
    const claim_end end = ledger.finish(slot, "k", token, answer_with("ok"));
    BOOST_TEST(end.joiners == (std::vector<joiner_id>{2, 4}));
    BOOST_REQUIRE(end.answer);
    BOOST_TEST(end.answer->body == "ok");
}

// Guards against a report of an old run that changes a newer claim of the same key.
BOOST_AUTO_TEST_CASE(late_reports_change_nothing) {
    manual_time_source clock;
    claim_ledger ledger(clock, {});
    const claim_token old = ledger.claim(slot, "k", order, 1).token;
    ledger.end_not_run(slot, "k", old);
    ledger.claim(slot, "k", order, 2);
    BOOST_TEST(!ledger.finish(slot, "k", old, answer_with("late")).known);
    BOOST_TEST((ledger.claim(slot, "k", order, 3).action == claim_action::join));
}

// Guards against retention that starts at the claim instead of the end of the run, or never ends.
BOOST_AUTO_TEST_CASE(claims_are_kept_for_the_retention_from_the_end) {
    manual_time_source clock;
    claim_ledger ledger(clock, {.retention = 60s});
    const claim_token token = ledger.claim(slot, "k", order, 1).token;
    clock.advance(10min);
    ledger.on_tick();
    ledger.finish(slot, "k", token, answer_with("ok"));
    clock.advance(59s);
    ledger.on_tick();
    BOOST_TEST((ledger.claim(slot, "k", order, 2).action == claim_action::replay));
    clock.advance(1s);
    ledger.on_tick();
    BOOST_TEST(ledger.counts().finished == 0U);
    BOOST_TEST(ledger.counts().bytes == 0U);
    BOOST_TEST((ledger.claim(slot, "k", order, 3).action == claim_action::run));
}

// Guards against a full ledger that forgets a live key, or that never takes new ones again.
BOOST_AUTO_TEST_CASE(full_ledger_refuses_new_keys_only) {
    manual_time_source clock;
    claim_ledger ledger(clock, {.retention = 60s, .max_claims = 2});
    ledger.finish(slot, "a", ledger.claim(slot, "a", order, 1).token, answer_with("ok"));
    ledger.claim(slot, "b", order, 2);
    BOOST_TEST((ledger.claim(slot, "c", order, 3).error == error_kind::overloaded));
    BOOST_TEST((ledger.claim(slot, "a", order, 4).action == claim_action::replay));
    BOOST_TEST((ledger.claim(slot, "b", order, 5).action == claim_action::join));
    clock.advance(61s);
    BOOST_TEST((ledger.claim(slot, "c", order, 6).action == claim_action::run));
}

// Guards against large answers that push out new keys: their bytes are bounded on their own.
BOOST_AUTO_TEST_CASE(answers_leave_room_for_keys) {
    manual_time_source clock;
    claim_ledger ledger(clock, {.max_total_bytes = 40'000, .answer_share = 0.5});
    for (int i = 0; i < 10; ++i) {
        const std::string key = "k" + std::to_string(i);
        const claim_decision decision = ledger.claim(slot, key, order, 1);
        BOOST_TEST((decision.action == claim_action::run));
        ledger.finish(slot, key, decision.token, answer_with(std::string(8'000, 'x')));
    }
    BOOST_TEST(ledger.counts().answer_bytes <= 20'000U);
    BOOST_TEST(ledger.claim(slot, "k0", order, 1).answer);
    const claim_decision last = ledger.claim(slot, "k9", order, 1);
    BOOST_TEST((last.action == claim_action::replay));
    BOOST_TEST(!last.answer);
}

// Guards against a planned change after which a key of the former holder runs again.
BOOST_DATA_TEST_CASE(exported_claims_decide_alike, claim_cases, sample) {
    manual_time_source clock;
    claim_ledger from(clock, {});
    bring_to(from, sample.state);
    claim_ledger to(clock, {});
    BOOST_TEST(to.import_slot(from.export_slot(slot)).ok());
    const claim_decision found = to.claim(slot, "k", sample.fingerprint, 2);
    if (sample.action == claim_action::join) {
        BOOST_TEST((found.error == error_kind::key_in_doubt));
        return;
    }
    BOOST_TEST((found.action == sample.action));
    BOOST_TEST((found.error == sample.error));
    BOOST_TEST((found.answer != nullptr) == sample.has_answer);
}

// Guards against an import that drops some of the claims for want of room.
BOOST_AUTO_TEST_CASE(import_is_whole_or_refused) {
    manual_time_source clock;
    claim_ledger from(clock, {});
    for (const char* key : {"a", "b", "c"}) {
        from.claim(slot, key, order, 1);
    }
    claim_ledger to(clock, {.max_claims = 2});
    BOOST_TEST(!to.import_slot(from.export_slot(slot)).ok());
    BOOST_TEST(to.counts().unknown == 0U);
    from.drop_slot(slot);
    BOOST_TEST(from.counts().running == 0U);
    BOOST_TEST(from.counts().bytes == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
