// Posts commands to the traffic threads, and their results to the control
// thread.
#include "traffic/traffic_thread_group.h"

namespace radishyard {
namespace {

// Flows that end before this age are not reported to the standby.
constexpr duration kStandbyFlowMinAge = 2s;

}  // namespace

traffic_thread_group::traffic_thread_group(asio::io_context& control,
                                           const endpoint& first,
                                           uint16_t threads, size_t held_flows)
    : control_(control),
      first_endpoint_(first),
      thread_count_(threads),
      upstream_cache_entries_(held_flows),
      reports_(threads) {}

void traffic_thread_group::Start(const reports_handler& on_reports,
                                 const traffic_thread::hop_handler& on_hop) {
  for (uint16_t i = 0; i < thread_count_; ++i) {
    traffic_thread_options options;
    options.listen = {first_endpoint_.address,
                      static_cast<uint16_t>(first_endpoint_.port + i)};
    options.upstream_cache_entries = upstream_cache_entries_;
    const auto on_report = [this, i, on_reports](const traffic_report& report) {
      asio::post(control_, [this, i, report, on_reports] {
        reports_[i] = report;
        on_reports(reports_);
      });
    };
    threads_.push_back(
        std::make_unique<traffic_thread>(options, on_report, on_hop));
  }
}

void traffic_thread_group::Stop() {
  for (const auto& thread : threads_) thread->Stop();
}

void traffic_thread_group::PublishView(
    std::shared_ptr<const routing_view> view) {
  for (const auto& thread : threads_) thread->PublishView(view);
}

void traffic_thread_group::SetGrants(const traffic_grants& grants,
                                     std::function<void()> done) {
  const auto shared_grants = std::make_shared<const traffic_grants>(grants);
  const auto pending_threads = std::make_shared<size_t>(
      threads_.size());  // Modified on the control thread only.
  for (const auto& thread : threads_) {
    thread->Post([this, shared_grants, pending_threads, done](
                     traffic_core& core, time_point) {
      core.owner().SetGrants(*shared_grants);
      if (!done) return;
      asio::post(control_, [pending_threads, done] {
        if (--*pending_threads == 0) done();
      });
    });
  }
}

void traffic_thread_group::ExportFlows(
    const pool_name& name, std::function<void(flow_batch)> handler) {
  ThreadOf(name).Post([this, name, handler = std::move(handler)](
                          traffic_core& core, time_point) {
    asio::post(control_, [handler, batch = core.owner().ExportFlows(name)] {
      handler(batch);
    });
  });
}

void traffic_thread_group::ImportFlows(const pool_name& name,
                                       flow_batch batch) {
  ThreadOf(name).Post(
      [name, batch = std::move(batch)](traffic_core& core, time_point now) {
        core.owner().ImportFlows(name, batch, now);
      });
}

void traffic_thread_group::RemoveHandedOverFlows(const pool_name& name) {
  ThreadOf(name).Post([name](traffic_core& core, time_point) {
    core.owner().RemoveHandedOverFlows(name);
  });
}

void traffic_thread_group::SetInheritedLoads(
    const pool_name& name, std::vector<upstream_load> counts) {
  ThreadOf(name).Post(
      [name, counts = std::move(counts)](traffic_core& core, time_point now) {
        core.owner().SetInheritedLoads(name, counts, now);
      });
}

void traffic_thread_group::CollectFlowsForStandby(
    const pool_name& name, size_t most,
    std::function<void(flow_batch)> handler) {
  ThreadOf(name).Post([this, name, most, handler = std::move(handler)](
                          traffic_core& core, time_point now) {
    flow_batch batch;
    batch.flows = core.owner().CollectFlowsForStandby(name, kStandbyFlowMinAge,
                                                      most, now);
    asio::post(control_,
               [handler, batch = std::move(batch)] { handler(batch); });
  });
}

void traffic_thread_group::ClearSentToStandby(const pool_name& name) {
  ThreadOf(name).Post([name](traffic_core& core, time_point) {
    core.owner().ClearSentToStandby(name);
  });
}

void traffic_thread_group::RecordStandbyFlows(flow_batch batch) {
  const auto shared_batch =
      std::make_shared<const flow_batch>(std::move(batch));
  for (const auto& thread : threads_) {
    thread->Post([shared_batch](traffic_core& core, time_point now) {
      core.RecordStandbyFlows(*shared_batch, now);
    });
  }
}

}  // namespace radishyard
