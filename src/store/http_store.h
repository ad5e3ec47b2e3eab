// The platform's object store over HTTP/JSON.
#pragma once
#include <memory>

#include "base/asio.h"
#include "packet/flow_key.h"
#include "store/object_store.h"

namespace radishyard {

/// \brief A client of the platform at `platform`. Handlers run on `io`.
/// \param timeout of a call; a watch may take its wait in addition.
std::unique_ptr<object_store> MakeHttpStore(asio::io_context& io,
                                            const endpoint& platform,
                                            duration timeout);

}  // namespace radishyard
