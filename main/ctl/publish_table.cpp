#include "main/ctl/publish_table.h"

#include <fmt/format.h>

#include <chrono>
#include <cstdlib>
#include <random>
#include <utility>
#include <variant>

#include "main/ctl/conflict_report.h"
#include "main/ctl/node_version_wait.h"
#include "main/ctl/table_json.h"
#include "main/ctl/table_source.h"
#include "servers/table/table_record.h"

namespace teaselpitch {
namespace {

namespace json = boost::json;

std::chrono::milliseconds to_milliseconds(double seconds) {
    return std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1'000));
}

std::string resolve_author(const publish_options& options) {
    if (!options.author.empty()) {
        return options.author;
    }
    const char* user = std::getenv("USER");
    return user != nullptr ? user : "unknown";
}

std::string generate_edit_id() {
    std::random_device random;
    return fmt::format("{:08x}{:08x}", random(), random());
}

wire::TableEdit make_edit(const table& base, const std::vector<row_change>& changes,
                          const publish_options& options) {
    wire::TableEdit edit;
    edit.set_edit_id(generate_edit_id());
    edit.set_author(resolve_author(options));
    edit.set_base_version(base.version());
    edit.set_comment(options.comment);
    for (const row_change& change : changes) {
        *edit.add_changes() = to_wire(change);
    }
    return edit;
}

// Prints the verdict of an edit in the selected output format and sets the exit status.
class verdict_printer {
public:
    verdict_printer(ctl_context& context, const wire::TableEdit& edit, std::vector<row_difference> yours,
                    std::string edit_file)
        : context_(context), edit_(edit), yours_(std::move(yours)), edit_file_(std::move(edit_file)) {}

    void operator()(const publish_accepted& verdict) const {
        context_.status = exit_status::ok;
        if (context_.json_output()) {
            print({{"result", "accepted"}, {"edit_id", edit_.edit_id()}, {"version", verdict.version}});
        } else {
            context_.out << "accepted version " << verdict.version << " edit " << edit_.edit_id() << '\n';
        }
    }

    void operator()(const publish_rejected& verdict) const {
        const bool conflict = verdict.current_version != edit_.base_version();
        context_.status = conflict                                      ? exit_status::conflict
                          : verdict.reason.starts_with("invalid_table") ? exit_status::bad_usage
                                                                        : exit_status::failed;
        if (context_.json_output()) {
            json::array since;
            for (const edit_result& edit : verdict.accepted_since) {
                since.push_back(to_json(edit));
            }
            print({{"result", conflict ? "conflict" : "rejected"},
                   {"edit_id", edit_.edit_id()},
                   {"reason", verdict.reason},
                   {"current_version", verdict.current_version},
                   {"accepted_since", std::move(since)},
                   {"yours", to_json(yours_)},
                   {"theirs", to_json(verdict.changed_since_base)}});
        }
        context_.err << "error: " << verdict.reason << '\n';
        if (conflict) {
            describe_conflict(verdict);
        }
        report_edit_file();
    }

    void operator()(const publish_in_doubt& verdict) const {
        context_.status = exit_status::in_doubt;
        if (context_.json_output()) {
            print({{"result", "in_doubt"},
                   {"edit_id", edit_.edit_id()},
                   {"reason", verdict.reason},
                   {"resolution", verdict.resolution}});
        }
        context_.err << "in doubt: edit " << edit_.edit_id() << " may take effect: " << verdict.reason << '\n'
                     << verdict.resolution << '\n';
        report_edit_file();
    }

private:
    void print(const json::object& object) const { context_.out << json::serialize(object) << '\n'; }

    void describe_conflict(const publish_rejected& verdict) const {
        for (const edit_result& edit : verdict.accepted_since) {
            context_.err << "accepted since: version " << edit.version << " by " << edit.author << " edit "
                         << edit.edit_id << '\n';
        }
        context_.err << format_conflict(compare_changes(yours_, verdict.changed_since_base));
    }

    void report_edit_file() const {
        if (!edit_file_.empty()) {
            context_.err << "the edit stays in " << edit_file_ << '\n';
        }
    }

    ctl_context& context_;
    const wire::TableEdit& edit_;
    std::vector<row_difference> yours_;
    std::string edit_file_;
};

void report_no_changes(ctl_context& context, const table& base) {
    if (context.json_output()) {
        context.out << json::serialize(json::object{{"result", "no_changes"}, {"version", base.version()}})
                    << '\n';
    } else {
        context.out << "no changes to version " << base.version() << '\n';
    }
}

}  // namespace

void publish_table(ctl_context& context, log_session& session, const std::shared_ptr<const table>& base,
                   const table& new_table, const publish_options& options, const std::string& edit_file) {
    if (options.wait && context.nodes.empty()) {
        report_failure(context, exit_status::bad_usage,
                       "--wait needs --node ADDRESS:PORT; nothing was published");
        return;
    }
    const std::vector<row_change> changes = changes_between(*base, new_table);
    if (changes.empty()) {
        report_no_changes(context, *base);
        return;
    }
    const wire::TableEdit edit = make_edit(*base, changes, options);
    const publish_result result = session.publish(edit, base, to_milliseconds(context.log_timeout_s));
    std::visit(verdict_printer(context, edit, diff_tables(*base, new_table), edit_file), result);
    if (const auto* accepted = std::get_if<publish_accepted>(&result); accepted != nullptr && options.wait) {
        context.status =
            wait_for_version(context, accepted->version, to_milliseconds(options.wait_timeout_s));
    }
}

}  // namespace teaselpitch
