#include "core/identity.h"

#include <xxhash.h>

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <string_view>
#include <system_error>

namespace teaselpitch {

std::string to_string(const endpoint& value) {
    const bool is_v6 = value.address.find(':') != std::string::npos;
    const std::string address = is_v6 ? "[" + value.address + "]" : value.address;
    return address + ":" + std::to_string(value.port);
}

absl::StatusOr<endpoint> parse_endpoint(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return absl::InvalidArgumentError("expected ADDRESS:PORT, got \"" + std::string(text) + "\"");
    }
    std::string_view address = text.substr(0, colon);
    if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
        address = address.substr(1, address.size() - 2);
    }
    boost::system::error_code error;
    const auto parsed = boost::asio::ip::make_address(std::string(address), error);
    if (error) {
        return absl::InvalidArgumentError("\"" + std::string(address) + "\" is not a numeric IP address");
    }
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (failure != std::errc{} || end != digits.data() + digits.size()) {
        return absl::InvalidArgumentError("\"" + std::string(digits) + "\" is not a port in 0..65535");
    }
    return endpoint{parsed.to_string(), port};
}

absl::StatusOr<endpoint> parse_remote_endpoint(std::string_view text) {
    absl::StatusOr<endpoint> parsed = parse_endpoint(text);
    if (parsed.ok() && parsed->port == 0) {
        return absl::InvalidArgumentError("the port of \"" + std::string(text) + "\" is not in 1..65535");
    }
    return parsed;
}

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed) {
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

}  // namespace teaselpitch
