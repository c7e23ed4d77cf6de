#include <boost/test/unit_test.hpp>
#include <random>

#include "servers/exchange/field_syntax.h"
#include "tests/drivers/http/answer_trials.h"
#include "tests/drivers/http/malformed_answers.h"

namespace teaselpitch::testing {
namespace {

constexpr std::uint64_t mutation_seed = 2026;
constexpr int mutants = 2'000;

/// Replaces, removes, repeats or inserts bytes of the answer at random positions.
std::string mutate(std::string text, std::mt19937_64& random) {
    const std::vector<std::string> snippets{
        "\r\n",    "\r",    "\n",   " ",    "\t",
        ":",       "\r\n ", "0",    "-1",   "Content-Length: 3\r\n",
        "chunked", "\x01",  "\x7f", "\xff", "Transfer-Encoding: chunked\r\n"};
    const auto below = [&random](std::size_t limit) {
        return static_cast<std::size_t>(random() % std::max<std::size_t>(limit, 1));
    };
    const std::size_t changes = 1 + below(3);
    for (std::size_t i = 0; i < changes; ++i) {
        const std::size_t at = below(text.size() + 1);
        switch (below(5)) {
            case 0:
                text.insert(at, snippets[below(snippets.size())]);
                break;
            case 1:
                text.erase(at, 1 + below(4));
                break;
            case 2:
                text.insert(at, text.substr(below(text.size() + 1), 1 + below(24)));
                break;
            case 3:
                text.resize(at);
                break;
            default:
                if (at < text.size()) {
                    text[at] = static_cast<char>(random() & 0xffU);
                }
        }
    }
    return text;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(answer_mutations)

// Guards against bytes of a target that end the process, are forwarded as a malformed head, look complete
// although their end is missing, or let a request count as not run.
BOOST_AUTO_TEST_CASE(mutated_answers_keep_the_rules) {
    std::vector<answer_case> seeds = valid_answers;
    seeds.insert(seeds.end(), malformed_heads.begin(), malformed_heads.end());
    seeds.insert(seeds.end(), malformed_bodies.begin(), malformed_bodies.end());
    seeds.push_back({"without a length", "HTTP/1.1 200 OK\r\n\r\nwhole"});
    std::mt19937_64 random(mutation_seed);
    trial_bench bench;
    for (int i = 0; i < mutants; ++i) {
        const answer_case& seed = seeds[random() % seeds.size()];
        const std::string answer = mutate(seed.answer, random);
        const ending end = random() % 2 == 0 ? ending::close : ending::reset;
        const bool upload = random() % 2 == 0;
        const trial_result seen = bench.run({answer, end, upload});
        const std::string where = "mutant " + std::to_string(i) + " of \"" + seed.name + "\"";
        BOOST_TEST((seen.result.error != error_kind::target_timeout), where);
        BOOST_TEST((seen.result.execution != execution_state::not_run), where);
        BOOST_TEST(seen.writer.finished == (seen.result.error == error_kind::none), where);
        BOOST_TEST(!(seen.writer.finished && seen.writer.aborted), where);
        if (!seen.writer.head.has_value()) {
            continue;
        }
        const response_head& head = *seen.writer.head;
        BOOST_TEST(!find_response_error(head).has_value(), where);
        if (!seen.writer.finished) {
            continue;
        }
        const bool sized = head.content_length.has_value();
        const bool chunked = answer.find("chunked") != std::string::npos;
        BOOST_TEST((!sized || !head.has_body || seen.writer.body.size() == *head.content_length), where);
        BOOST_TEST((sized || chunked || !head.has_body || (end == ending::close && !upload)), where);
    }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch::testing
