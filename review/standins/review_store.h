// A stand-in for the platform's store, as PROTOCOL.md describes it: objects by
// kind and name, lists in pages of at most 500 items or 1 MB, and watches.
#pragma once
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "base/asio.h"

namespace radishyard::review {

/// \brief Serves the HTTP interface of the store on 127.0.0.1, on a free port.
class review_store {
 public:
  explicit review_store(asio::io_context& io);
  ~review_store();
  review_store(const review_store&) = delete;
  review_store& operator=(const review_store&) = delete;

  uint16_t port() const;
  /// \brief Creates or replaces an object.
  void Put(const std::string& kind, const std::string& name,
           const nlohmann::json& spec,
           const nlohmann::json& finalizers = nlohmann::json::array());
  /// \brief While silent, the store never answers a request that it receives.
  /// Watches that it has received before are still answered.
  void SetSilent(bool is_silent);
  /// \brief Gives the next `count` lists of endpoints a header that announces a
  /// body of 10^12 bytes, and no such body.
  void MalformLists(int count);
  int malformed_lists_left() const;

 private:
  class core;
  std::shared_ptr<core> core_;
};

}  // namespace radishyard::review
