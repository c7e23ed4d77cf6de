#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace teaselpitch {

/// Runs one command and returns its exit status. `arguments` do not include the program name.
int run_ctl(std::vector<std::string> arguments, std::ostream& out, std::ostream& err);

}  // namespace teaselpitch
