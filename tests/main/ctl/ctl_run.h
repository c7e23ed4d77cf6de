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

/// What one command printed and returned.
struct ctl_result {
    int status = 0;
    std::string out;
    std::string err;

    [[nodiscard]] bool says(const std::string& text) const {
        return (out + err).find(text) != std::string::npos;
    }
};

inline ctl_result run(std::vector<std::string> arguments) {
    std::ostringstream out;
    std::ostringstream err;
    const int status = run_ctl(std::move(arguments), out, err);
    return {status, out.str(), err.str()};
}

/// Runs "table ..." on a log.
inline ctl_result run_table(const endpoint& log, std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), {"--log", to_string(log), "table"});
    return run(std::move(arguments));
}

/// A folder that is removed with its files.
class scratch_folder {
public:
    scratch_folder() {
        std::string pattern = (std::filesystem::temp_directory_path() / "teaselpitch-XXXXXX").string();
        path_ = mkdtemp(pattern.data());
    }
    ~scratch_folder() { std::filesystem::remove_all(path_); }
    scratch_folder(const scratch_folder&) = delete;
    scratch_folder& operator=(const scratch_folder&) = delete;

    [[nodiscard]] std::string file(const std::string& name) const { return (path_ / name).string(); }

    std::string write(const std::string& name, const std::string& text) const {
        std::ofstream(path_ / name, std::ios::binary) << text;
        return file(name);
    }

private:
    std::filesystem::path path_;
};

inline std::string read_text(const std::string& path) {
    std::ostringstream text;
    text << std::ifstream(path, std::ios::binary).rdbuf();
    return text.str();
}

}  // namespace teaselpitch
