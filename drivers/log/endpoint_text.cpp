#include "drivers/log/endpoint_text.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <string>

namespace teaselpitch {

std::optional<endpoint> parse_endpoint(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view address = text.substr(0, colon);
    const std::string_view digits = text.substr(colon + 1);
    if (address.starts_with('[') && address.ends_with(']')) {
        address = address.substr(1, address.size() - 2);
    }
    endpoint result{std::string(address), 0};
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), result.port);
    boost::system::error_code address_error;
    boost::asio::ip::make_address(result.address, address_error);
    if (error != std::errc{} || end != digits.data() + digits.size() || address_error) {
        return std::nullopt;
    }
    return result;
}

}  // namespace teaselpitch
