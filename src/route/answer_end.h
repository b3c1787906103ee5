#pragma once

#include "policy/answer_proof.h"

#include <boost/asio/awaitable.hpp>

#include <string_view>

namespace quincefall {

struct running_attempt;

/// Whether the end of the answer may count if its upstream is known to have outlived it. Then the
/// probe is to be opened before the request is sent.
bool needsProbe(const running_attempt &attempt);

/// Handles the head of an answer: if it names the close of its connection as its end, and no probe
/// was opened, the attempt gets one that is open already.
void noteAnnouncedEnd(running_attempt &attempt);

/// What proves the stream whole that the attempt's upstream has ended in order.
boost::asio::awaitable<answer_proof> proveStream(running_attempt &attempt);

/// The same for an answer that is no stream.
boost::asio::awaitable<answer_proof> proveWholeAnswer(running_attempt &attempt, int status,
                                                      std::string_view body);

} // namespace quincefall
