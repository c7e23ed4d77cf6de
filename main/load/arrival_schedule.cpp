#include "main/load/arrival_schedule.h"

#include <algorithm>
#include <random>

namespace teaselpitch {
namespace {

planned_send draw_send(const load_options& options, std::mt19937_64& random, std::size_t number) {
    std::uniform_real_distribution<double> share(0, 1);
    const std::string id = std::to_string(options.seed) + "-" + std::to_string(number);
    const double kind = share(random);
    planned_send send;
    send.call_id = "call-" + id;
    send.post = kind >= options.mix.get;
    if (kind >= options.mix.get + options.mix.unkeyed_post) {
        send.key = "key-" + id;
    }
    send.host = std::uniform_int_distribution<std::size_t>(0, options.hosts.size() - 1)(random);
    send.caller = std::uniform_int_distribution<std::size_t>(0, options.callers.size() - 1)(random);
    return send;
}

planned_send resend_of(const load_options& options, const planned_send& first) {
    planned_send again = first;
    again.call_id += "-again";
    again.at += options.resend_after;
    again.first = false;
    again.caller = (first.caller + 1) % options.callers.size();
    return again;
}

}  // namespace

std::vector<planned_send> plan_arrivals(const load_options& options) {
    std::mt19937_64 random(options.seed);
    std::exponential_distribution<double> gap(options.rate);
    std::uniform_real_distribution<double> share(0, 1);
    std::vector<planned_send> sends;
    const double end = std::chrono::duration<double>(options.duration).count();
    for (double at = gap(random); at < end; at += gap(random)) {
        planned_send send = draw_send(options, random, sends.size());
        send.at = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::duration<double>(at));
        const bool resent = share(random) < options.mix.resent && !send.key.empty();
        sends.push_back(send);
        if (resent) {
            sends.push_back(resend_of(options, send));
        }
    }
    std::stable_sort(sends.begin(), sends.end(),
                     [](const auto& left, const auto& right) { return left.at < right.at; });
    return sends;
}

}  // namespace teaselpitch
