#include "main/ctl/log_session.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <utility>

#include "servers/table/table_record.h"

namespace teaselpitch {
namespace {

constexpr std::chrono::milliseconds initial_retry_delay{100};
constexpr std::chrono::milliseconds max_retry_delay{1'000};
constexpr std::chrono::milliseconds verdict_read_wait{500};

awaitable<void> wait_before_retry(std::chrono::milliseconds& duration) {
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, duration);
    duration = std::min(duration * 2, max_retry_delay);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

// Runs a coroutine to completion. No other thread may run the context.
template <typename T>
T run_to_completion(boost::asio::io_context& context, awaitable<T> work) {
    auto result = boost::asio::co_spawn(context, std::move(work), boost::asio::use_future);
    context.restart();
    context.run();
    return result.get();
}

std::string describe_row_change(const wire::RowChange& change) {
    std::string text = change.remove() ? "remove " : "set ";
    text += change.row().kind();
    for (const std::string& cell : change.row().cells()) {
        text += " " + cell;
    }
    return text;
}

}  // namespace

log_session::log_session(log_client_settings settings)
    : client_(std::move(settings)),
      follower_(client_, replica_, clock_, {},
                {[this](const wire::StoredRecord& record, const apply_result& result) {
                     record_edit_details(record, result);
                 },
                 [this] { retain_current_table(); },
                 {}}) {}

std::shared_ptr<const table> log_session::version(std::uint64_t version) const {
    if (replica_.version() == version) {
        return replica_.current();
    }
    const auto found = retained_tables_.find(version);
    return found == retained_tables_.end() ? nullptr : found->second;
}

std::vector<history_entry> log_session::history() const {
    std::vector<history_entry> entries;
    for (const edit_result& result : replica_.recent_edits()) {
        const auto found = edit_details_.find(result.edit_id);
        entries.push_back(found != edit_details_.end() ? found->second : history_entry{result, 0, "", {}});
        entries.back().result = result;
    }
    return entries;
}

absl::Status log_session::load(std::set<std::uint64_t> retained_versions, std::chrono::milliseconds timeout) {
    retained_versions_ = std::move(retained_versions);
    retain_current_table();
    return run_to_completion(context_, read_to_end(clock_.now() + timeout));
}

awaitable<absl::Status> log_session::read_to_end(steady_time deadline) {
    std::chrono::milliseconds retry_delay = initial_retry_delay;
    for (;;) {
        const auto before = std::pair(replica_.next_offset(), replica_.as_of());
        const absl::Status status = co_await follower_.read_once(std::chrono::milliseconds(0));
        if (follower_.last_fresh_read()) {
            co_return absl::OkStatus();
        }
        if (!status.ok()) {
            if (clock_.now() >= deadline) {
                co_return status;
            }
            co_await wait_before_retry(retry_delay);
        } else if (before == std::pair(replica_.next_offset(), replica_.as_of())) {
            co_return absl::DataLossError(
                "the log is truncated and has no table snapshot that reaches its first record");
        }
    }
}

publish_result log_session::publish(wire::TableEdit edit, std::shared_ptr<const table> base,
                                    std::chrono::milliseconds timeout) {
    edit_publisher publisher(std::move(edit), std::move(base));
    publisher.on_records_read(replica_, true);  // Rejects an edit on an outdated base before it is appended.
    run_to_completion(context_, run_publisher(publisher, clock_.now() + timeout));
    return publisher.result();
}

awaitable<void> log_session::run_publisher(edit_publisher& publisher, steady_time deadline) {
    std::chrono::milliseconds retry_delay = initial_retry_delay;
    std::string reason = "the log did not confirm the edit before the timeout";
    while (publisher.next_step() != edit_publisher::step::done) {
        if (clock_.now() >= deadline) {
            publisher.give_up(reason);
            break;
        }
        if (publisher.next_step() == edit_publisher::step::append) {
            const append_outcome outcome = co_await client_.append(publisher.record());
            publisher.on_append_outcome(outcome);
            if (outcome.state != append_state::stored) {
                reason = outcome.detail;
                co_await wait_before_retry(retry_delay);
            }
            continue;
        }
        const steady_time read_start = clock_.now();
        const absl::Status status = co_await follower_.read_once(verdict_read_wait);
        if (status.ok()) {
            publisher.on_records_read(replica_, follower_.last_fresh_read() >= read_start);
        } else {
            reason = std::string(status.message());
            co_await wait_before_retry(retry_delay);
        }
    }
}

void log_session::record_edit_details(const wire::StoredRecord& record, const apply_result& result) {
    wire::LogRecord parsed;
    if (!result.edit || !parsed.ParseFromString(record.payload())) {
        return;
    }
    history_entry entry{*result.edit, parsed.edit().base_version(), parsed.edit().comment(), {}};
    for (const wire::RowChange& change : parsed.edit().changes()) {
        entry.changes.push_back(describe_row_change(change));
    }
    edit_details_.insert_or_assign(result.edit->edit_id, std::move(entry));
}

void log_session::retain_current_table() {
    if (retained_versions_.contains(replica_.version())) {
        retained_tables_[replica_.version()] = replica_.current();
    }
}

}  // namespace teaselpitch
