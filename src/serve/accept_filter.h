#pragma once

namespace quincefall {

/// Makes the kernel drop further connection attempts at the listening TCP socket @p descriptor.
/// Those whose handshake has begun go on. Returns whether the kernel took the filter.
bool dropNewConnections(int descriptor);

} // namespace quincefall
