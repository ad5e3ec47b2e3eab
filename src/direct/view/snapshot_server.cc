// Answers each request in its turn, or closes its connection if the turn is too
// far away.
#include "direct/view/snapshot_server.h"

#include <utility>

#include "direct/view/view_sharing.h"
#include "observe/log.h"

namespace radishyard {
namespace {

void SendAfter(asio::io_context& io, duration wait, peer_link& link,
               view_snapshot snapshot) {
  const auto timer = std::make_shared<asio::steady_timer>(io, wait);
  timer->async_wait([timer, target = link.shared_from_this(),
                     snapshot = std::move(snapshot)](error_code error) {
    if (!error && target->is_open()) target->Send(snapshot);
  });
}

}  // namespace

snapshot_server::snapshot_server(asio::io_context& io, const endpoint& listen,
                                 uint32_t link_mbps, snapshot_maker make,
                                 std::shared_ptr<peer_counters> counters)
    : io_(io),
      make_(std::move(make)),
      pacing_{.bytes_per_second = ToSnapshotRate(link_mbps)},
      server_(io, listen,
              {.on_message =
                   [this](peer_link& link, const peer_message& message) {
                     const auto* request =
                         std::get_if<snapshot_request>(&message);
                     if (request == nullptr) return link.Close();
                     HandleRequest(link, *request);
                   }},
              std::move(counters)) {}

void snapshot_server::HandleRequest(peer_link& link,
                                    const snapshot_request& request) {
  auto snapshot = make_(request);
  if (!snapshot) return link.Close();
  const auto wait = ReserveTurn(pacing_, EstimateBytes(*snapshot),
                                std::chrono::steady_clock::now());
  if (!wait) {
    Log(severity::kInfo, "snapshot_refused",
        {{"bytes", uint64_t{EstimateBytes(*snapshot)}}});
    return link.Close();
  }
  if (*wait <= duration{}) {
    link.Send(*snapshot);
    return;
  }
  SendAfter(io_, *wait, link, std::move(*snapshot));
}

}  // namespace radishyard
