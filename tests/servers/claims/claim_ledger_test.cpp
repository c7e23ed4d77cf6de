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
constexpr std::uint64_t request_hash = 11;
constexpr std::uint64_t other_request_hash = 12;

stored_answer make_answer(std::string body) {
    stored_answer answer;
    answer.head.status = 201;
    answer.head.headers = {{"Content-Type", "text/plain"}};
    answer.body = std::move(body);
    return answer;
}

enum class prior_claim { nothing, running, finished, finished_large, unknown, not_run };

void prepare_claim(claim_ledger& ledger, prior_claim state) {
    if (state == prior_claim::nothing) {
        return;
    }
    const claim_token token = ledger.claim(slot, "k", request_hash, 1).token;
    switch (state) {
        case prior_claim::finished:
            ledger.finish(slot, "k", token, make_answer("ok"));
            break;
        case prior_claim::finished_large:
            ledger.finish(slot, "k", token, make_answer(std::string(16 * 1024 + 1, 'x')));
            break;
        case prior_claim::unknown:
            ledger.finish_unknown(slot, "k", token);
            break;
        case prior_claim::not_run:
            ledger.finish_not_run(slot, "k", token);
            break;
        default:
            break;
    }
}

struct claim_case {
    const char* name;
    prior_claim state;
    std::uint64_t fingerprint;
    claim_action action;
    error_kind error;
    bool has_answer;
};

std::ostream& operator<<(std::ostream& out, const claim_case& value) {
    return out << value.name;
}

constexpr claim_case claim_cases[] = {
    {"new key", prior_claim::nothing, request_hash, claim_action::run, error_kind::none, false},
    {"running", prior_claim::running, request_hash, claim_action::join, error_kind::none, false},
    {"running, other request", prior_claim::running, other_request_hash, claim_action::refuse,
     error_kind::key_conflict, false},
    {"finished", prior_claim::finished, request_hash, claim_action::replay, error_kind::none, true},
    {"finished, other request", prior_claim::finished, other_request_hash, claim_action::refuse,
     error_kind::key_conflict, false},
    {"finished, answer too large", prior_claim::finished_large, request_hash, claim_action::replay,
     error_kind::none, false},
    {"unknown", prior_claim::unknown, request_hash, claim_action::refuse, error_kind::key_in_doubt, false},
    {"unknown, other request", prior_claim::unknown, other_request_hash, claim_action::refuse,
     error_kind::key_conflict, false},
    {"not run", prior_claim::not_run, request_hash, claim_action::run, error_kind::none, false},
    {"not run, other request", prior_claim::not_run, other_request_hash, claim_action::run, error_kind::none,
     false},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(claim_ledger_decisions)

// Guards against a second run of a key, and against replaying the answer of a different request.
BOOST_DATA_TEST_CASE(second_send_is_decided_by_the_prior_claim, claim_cases, sample) {
    manual_time_source clock;
    claim_ledger ledger(clock, {});
    prepare_claim(ledger, sample.state);
    const claim_decision found = ledger.claim(slot, "k", sample.fingerprint, 2);
    BOOST_TEST((found.action == sample.action));
    BOOST_TEST((found.error == sample.error));
    BOOST_TEST((found.answer != nullptr) == sample.has_answer);
}

// Guards against joiners that are never notified, or notified after they stopped waiting.
BOOST_AUTO_TEST_CASE(joiners_receive_the_answer) {
    manual_time_source clock;
    claim_ledger ledger(clock, {});
    const claim_token token = ledger.claim(slot, "k", request_hash, 1).token;
    for (joiner_id joiner = 2; joiner <= 4; ++joiner) {
        ledger.claim(slot, "k", request_hash, joiner);
    }
    ledger.remove_joiner(slot, "k", 3);
    const claim_completion end = ledger.finish(slot, "k", token, make_answer("ok"));
    BOOST_TEST(end.joiners == (std::vector<joiner_id>{2, 4}));
    BOOST_REQUIRE(end.answer);
    BOOST_TEST(end.answer->body == "ok");
}

// Guards against a late report of an old run that changes a newer claim of the same key.
BOOST_AUTO_TEST_CASE(late_reports_have_no_effect) {
    manual_time_source clock;
    claim_ledger ledger(clock, {});
    const claim_token old_token = ledger.claim(slot, "k", request_hash, 1).token;
    ledger.finish_not_run(slot, "k", old_token);
    ledger.claim(slot, "k", request_hash, 2);
    BOOST_TEST(!ledger.finish(slot, "k", old_token, make_answer("late")).matched);
    BOOST_TEST((ledger.claim(slot, "k", request_hash, 3).action == claim_action::join));
}

// Guards against retention that starts at the claim instead of the end of the run, or never ends.
BOOST_AUTO_TEST_CASE(retention_starts_at_the_end_of_the_run) {
    manual_time_source clock;
    claim_ledger ledger(clock, {.retention = 60s});
    const claim_token token = ledger.claim(slot, "k", request_hash, 1).token;
    clock.advance(10min);
    ledger.on_tick();
    ledger.finish(slot, "k", token, make_answer("ok"));
    clock.advance(59s);
    ledger.on_tick();
    BOOST_TEST((ledger.claim(slot, "k", request_hash, 2).action == claim_action::replay));
    clock.advance(1s);
    ledger.on_tick();
    BOOST_TEST(ledger.counts().finished == 0U);
    BOOST_TEST(ledger.counts().bytes == 0U);
    BOOST_TEST((ledger.claim(slot, "k", request_hash, 3).action == claim_action::run));
}

// Guards against a full ledger that evicts a live key, or that never accepts new keys again.
BOOST_AUTO_TEST_CASE(full_ledger_refuses_new_keys_only) {
    manual_time_source clock;
    claim_ledger ledger(clock, {.retention = 60s, .max_claims = 2});
    ledger.finish(slot, "a", ledger.claim(slot, "a", request_hash, 1).token, make_answer("ok"));
    ledger.claim(slot, "b", request_hash, 2);
    BOOST_TEST((ledger.claim(slot, "c", request_hash, 3).error == error_kind::overloaded));
    BOOST_TEST((ledger.claim(slot, "a", request_hash, 4).action == claim_action::replay));
    BOOST_TEST((ledger.claim(slot, "b", request_hash, 5).action == claim_action::join));
    clock.advance(61s);
    BOOST_TEST((ledger.claim(slot, "c", request_hash, 6).action == claim_action::run));
}

// Guards against large answers that leave no room for new keys: the bytes of answers have a limit of their
// own.
BOOST_AUTO_TEST_CASE(answers_cannot_fill_the_ledger) {
    manual_time_source clock;
    claim_ledger ledger(clock, {.max_total_bytes = 40'000, .max_answer_fraction = 0.5});
    for (int i = 0; i < 10; ++i) {
        const std::string key = "k" + std::to_string(i);
        const claim_decision decision = ledger.claim(slot, key, request_hash, 1);
        BOOST_TEST((decision.action == claim_action::run));
        ledger.finish(slot, key, decision.token, make_answer(std::string(8'000, 'x')));
    }
    BOOST_TEST(ledger.counts().answer_bytes <= 20'000U);
    BOOST_TEST(ledger.claim(slot, "k0", request_hash, 1).answer);
    const claim_decision last = ledger.claim(slot, "k9", request_hash, 1);
    BOOST_TEST((last.action == claim_action::replay));
    BOOST_TEST(!last.answer);
}

// Guards against a planned change of the holder after which a key of the former holder runs again.
BOOST_DATA_TEST_CASE(imported_claims_yield_the_same_decisions, claim_cases, sample) {
    manual_time_source clock;
    claim_ledger exporter(clock, {});
    prepare_claim(exporter, sample.state);
    claim_ledger importer(clock, {});
    BOOST_TEST(importer.import_slot(exporter.export_slot(slot)).ok());
    const claim_decision found = importer.claim(slot, "k", sample.fingerprint, 2);
    if (sample.action == claim_action::join) {
        BOOST_TEST((found.error == error_kind::key_in_doubt));
        return;
    }
    BOOST_TEST((found.action == sample.action));
    BOOST_TEST((found.error == sample.error));
    BOOST_TEST((found.answer != nullptr) == sample.has_answer);
}

// Guards against an import that silently drops claims when the ledger is too full for all of them.
BOOST_AUTO_TEST_CASE(import_is_complete_or_refused) {
    manual_time_source clock;
    claim_ledger exporter(clock, {});
    for (const char* key : {"a", "b", "c"}) {
        exporter.claim(slot, key, request_hash, 1);
    }
    claim_ledger importer(clock, {.max_claims = 2});
    BOOST_TEST(!importer.import_slot(exporter.export_slot(slot)).ok());
    BOOST_TEST(importer.counts().unknown == 0U);
    exporter.remove_slot(slot);
    BOOST_TEST(exporter.counts().running == 0U);
    BOOST_TEST(exporter.counts().bytes == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
