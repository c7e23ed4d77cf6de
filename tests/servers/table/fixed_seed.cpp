#include <cstdlib>

namespace {

// RapidCheck reads its seed from the environment. A fixed seed makes every run check the same cases.
// RC_PARAMS set by the caller takes precedence, to search with other seeds.
const int seed_is_set = setenv("RC_PARAMS", "seed=20261204 max_success=200", 0);

}  // namespace
