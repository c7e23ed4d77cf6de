#include "modules/node/target_announcement.h"

#include <boost/json.hpp>
#include <exception>
#include <stdexcept>

namespace teaselpitch {
namespace {

constexpr std::uint32_t max_slots = 100'000;

std::optional<target_lifecycle> parse_state(std::string_view text) {
    for (const target_lifecycle state :
         {target_lifecycle::starting, target_lifecycle::ready, target_lifecycle::leaving}) {
        if (to_string(state) == text) {
            return state;
        }
    }
    return std::nullopt;
}

announcement parse_announcement_fields(const boost::json::object& object) {
    announcement result;
    const auto text = [&object](const char* key) { return std::string(object.at(key).as_string()); };
    result.identity.name = text("name");
    result.identity.incarnation = object.at("incarnation").to_number<std::uint64_t>();
    result.service = text("service");
    result.address = {text("address"), object.at("port").to_number<std::uint16_t>()};
    result.slots = object.at("slots").to_number<std::uint32_t>();
    const std::optional<target_lifecycle> state = parse_state(text("state"));
    if (!state) {
        throw std::invalid_argument("state must be one of starting, ready and leaving");
    }
    result.state = *state;
    return result;
}

std::string find_fault(const announcement& message) {
    if (message.identity.name.empty() || message.service.empty()) {
        return "name and service must not be empty";
    }
    if (message.slots == 0 || message.slots > max_slots) {
        return "slots must be in the range 1 to 100000";
    }
    const auto address = parse_remote_endpoint(to_string(message.address));
    return address.ok() ? "" : std::string(address.status().message());
}

}  // namespace

std::string_view to_string(target_lifecycle state) {
    switch (state) {
        case target_lifecycle::starting:
            return "starting";
        case target_lifecycle::ready:
            return "ready";
        case target_lifecycle::leaving:
            return "leaving";
    }
    return "unknown";
}

absl::StatusOr<announcement> parse_announcement(std::string_view json) {
    announcement result;
    try {
        result = parse_announcement_fields(boost::json::parse(json).as_object());
    } catch (const std::exception& error) {
        return absl::InvalidArgumentError(std::string("invalid announcement: ") + error.what());
    }
    const std::string fault = find_fault(result);
    if (!fault.empty()) {
        return absl::InvalidArgumentError("invalid announcement: " + fault);
    }
    return result;
}

}  // namespace teaselpitch
