#pragma once

// Boost.JSON without its compiled library; core/json.cpp holds the definitions.
#include <boost/json.hpp>
