#pragma once

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "core/identity.h"
#include "main/ctl/ctl_app.h"

namespace teaselpitch {

/// Output and exit status of one command.
struct ctl_result {
    int status = 0;
    std::string out;
    std::string err;

    [[nodiscard]] bool output_contains(const std::string& text) const {
        return (out + err).find(text) != std::string::npos;
    }
};

inline ctl_result run(std::vector<std::string> arguments) {
    std::ostringstream out;
    std::ostringstream err;
    const int status = run_ctl(std::move(arguments), out, err);
    return {status, out.str(), err.str()};
}

/// Runs a "table" subcommand against a log.
inline ctl_result run_table(const endpoint& log, std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), {"--log", to_string(log), "table"});
    return run(std::move(arguments));
}

/// A temporary directory, removed with its files on destruction.
class temporary_directory {
public:
    temporary_directory() {
        std::string pattern = (std::filesystem::temp_directory_path() / "teaselpitch-XXXXXX").string();
        path_ = mkdtemp(pattern.data());
    }
    ~temporary_directory() { std::filesystem::remove_all(path_); }
    temporary_directory(const temporary_directory&) = delete;
    temporary_directory& operator=(const temporary_directory&) = delete;

    [[nodiscard]] std::string file(const std::string& name) const { return (path_ / name).string(); }

    std::string write(const std::string& name, const std::string& text) const {
        std::ofstream(path_ / name, std::ios::binary) << text;
        return file(name);
    }

private:
    std::filesystem::path path_;
};

inline std::string read_file_text(const std::string& path) {
    std::ostringstream text;
    text << std::ifstream(path, std::ios::binary).rdbuf();
    return text.str();
}

}  // namespace teaselpitch
