// A client of the platform's object store over HTTP and JSON.
#pragma once
#include <memory>
#include <string>

#include "base/asio.h"
#include "packet/flow_key.h"
#include "store/object_store.h"

namespace radishyard {

/// \brief Largest value that the platform stores, in bytes.
inline constexpr size_t kMaxValueBytes = 1U << 20;

/// \brief Creates a client of the platform at `platform`. Handlers run on `io`.
/// \param timeout of a call; the wait of a watch is added to it.
/// \param client name under which the platform counts the calls; may be empty.
///
/// \code
/// auto store = MakeHttpStore(io, platform, 2s, "vm-1");
/// store->Get("services/archive",
///            [](std::optional<stored_object> found, const failure& why) {
///              if (!found && why.kind == failure_kind::kNotFound) ...
///            });
/// \endcode
/// \warning Destroying the store discards the handlers of calls in progress
/// without calling them.
std::unique_ptr<object_store> MakeHttpStore(asio::io_context& io,
                                            const endpoint& platform,
                                            duration timeout,
                                            std::string client = "");

}  // namespace radishyard
