#include <cstdlib>

namespace {

// RapidCheck takes its seed from the environment; a fixed one gives the same verdict in every run.
// RC_PARAMS set by the caller has precedence, to search with other seeds.
const int seed_is_set = setenv("RC_PARAMS", "seed=20261204 max_success=200", 0);

}  // namespace
