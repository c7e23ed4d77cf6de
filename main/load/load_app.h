#pragma once

namespace teaselpitch {

/// Runs the load generator. Returns 0, 1 on a failure, 2 on wrong usage, 4 when a guarantee is violated.
int run_load_app(int argc, char** argv);

}  // namespace teaselpitch
