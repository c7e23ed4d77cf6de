#include "drivers/http/target_connection.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>

#include <linux/sockios.h>

namespace teaselpitch {

target_connection::target_connection(const net::any_io_executor& executor)
    : socket(executor), buffer(max_unparsed_bytes) {}

bool target_connection::is_reusable() {
    pollfd entry{socket.native_handle(), POLLIN | POLLRDHUP, 0};
    return buffer.size() == 0 && ::poll(&entry, 1, 0) == 0;
}

bool target_connection::ended_in_order() {
    // The error of a socket is reported to one call only, and each later read sees a clean end. The state of
    // the connection is not consumed: an orderly close by the peer leads to CLOSE_WAIT, a reset to CLOSE.
    tcp_info info{};
    socklen_t size = sizeof info;
    int unacknowledged = 0;
    const int descriptor = socket.native_handle();
    return ::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
           info.tcpi_state == TCP_CLOSE_WAIT && ::ioctl(descriptor, SIOCOUTQ, &unacknowledged) == 0 &&
           unacknowledged == 0;
}

}  // namespace teaselpitch
