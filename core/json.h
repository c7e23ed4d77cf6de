#pragma once

// Boost.JSON without its compiled library; core/json.cpp contains the function definitions.
#include <boost/json.hpp>
