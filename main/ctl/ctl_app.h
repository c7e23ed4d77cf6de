#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace teaselpitch {

/// Runs one command; `arguments` are without the program's name. Returns the exit status.
int run_ctl(std::vector<std::string> arguments, std::ostream& out, std::ostream& err);

}  // namespace teaselpitch
