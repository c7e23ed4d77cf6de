#pragma once

namespace teaselpitch {

/// Runs the load generator. Returns the exit status: 0 on success, 1 on a failure, 2 on a usage error, 4 if
/// the run violated a guarantee.
int run_load_app(int argc, char** argv);

}  // namespace teaselpitch
