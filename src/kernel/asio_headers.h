#pragma once

// Precompiled header of the services with the Boost headers that are slow to compile.

#include <boost/asio.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/beast/core.hpp>

// basic_parser asserts that the end of a chunked body is there at once. An empty body that arrives
// in pieces would end the process.
#define BOOST_DISABLE_ASSERTS
#include <boost/assert.hpp>
#include <boost/beast/http/basic_parser.hpp>
#undef BOOST_DISABLE_ASSERTS
#include <boost/assert.hpp>

#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>
