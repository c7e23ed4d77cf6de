#include "main/load/arrival_schedule.h"

#include <algorithm>
#include <random>

namespace teaselpitch {
namespace {

planned_request draw_request(const load_options& options, std::mt19937_64& random, std::size_t number) {
    std::uniform_real_distribution<double> share(0, 1);
    const std::string id = std::to_string(options.seed) + "-" + std::to_string(number);
    const double kind = share(random);
    planned_request planned;
    planned.call_id = "call-" + id;
    planned.is_post = kind >= options.mix.get;
    if (kind >= options.mix.get + options.mix.unkeyed_post) {
        planned.key = "key-" + id;
    }
    planned.host = std::uniform_int_distribution<std::size_t>(0, options.hosts.size() - 1)(random);
    planned.caller = std::uniform_int_distribution<std::size_t>(0, options.callers.size() - 1)(random);
    return planned;
}

planned_request make_resend(const load_options& options, const planned_request& first) {
    planned_request resend = first;
    resend.call_id += "-again";
    resend.at += options.resend_after;
    resend.is_first = false;
    resend.caller = (first.caller + 1) % options.callers.size();
    return resend;
}

}  // namespace

std::vector<planned_request> plan_arrivals(const load_options& options) {
    std::mt19937_64 random(options.seed);
    std::exponential_distribution<double> interarrival_s(options.rate);
    std::uniform_real_distribution<double> share(0, 1);
    std::vector<planned_request> requests;
    const double end = std::chrono::duration<double>(options.duration).count();
    for (double at = interarrival_s(random); at < end; at += interarrival_s(random)) {
        planned_request planned = draw_request(options, random, requests.size());
        planned.at = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::duration<double>(at));
        const bool resent = share(random) < options.mix.resent && !planned.key.empty();
        requests.push_back(planned);
        if (resent) {
            requests.push_back(make_resend(options, planned));
        }
    }
    std::stable_sort(requests.begin(), requests.end(),
                     [](const auto& left, const auto& right) { return left.at < right.at; });
    return requests;
}

}  // namespace teaselpitch
