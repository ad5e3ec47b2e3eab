// Maps the calls of object_store to HTTP requests, and the responses to values
// and failures.
#include "store/http_store.h"

#include <utility>

#include "store/http_client.h"
#include "store/store_codec.h"

namespace radishyard {
namespace {

using internal::http_client;
using internal::http_request;
using internal::http_result;

constexpr unsigned kHttpOk = 200;
constexpr unsigned kHttpNotFound = 404;
constexpr unsigned kHttpPreconditionFailed = 412;
constexpr unsigned kHttpServerError = 500;
constexpr unsigned kHttpServiceUnavailable = 503;

enum class call_kind { kRead, kWrite };

/// The failure of a call without a response. The outcome of a write that may
/// have reached the platform is unknown.
failure ToFailure(const http_result& result, call_kind call) {
  if (call == call_kind::kWrite && result.sent)
    return {failure_kind::kUnknown, result.reason};
  if (result.malformed) return {failure_kind::kInvalid, result.reason};
  return {failure_kind::kUnavailable, result.reason};
}

/// The failure of a call whose response has a status other than 200.
failure StatusToFailure(unsigned status, call_kind call) {
  const std::string text =
      "platform responded with status " + std::to_string(status);
  if (status == kHttpNotFound) return {failure_kind::kNotFound, text};
  if (status == kHttpPreconditionFailed) return {failure_kind::kConflict, text};
  if (status == kHttpServiceUnavailable)
    return {failure_kind::kUnavailable, text};
  if (status < kHttpServerError) return {failure_kind::kInvalid, text};
  return {call == call_kind::kWrite ? failure_kind::kUnknown
                                    : failure_kind::kUnavailable,
          text};
}

/// Calls `handler` with the parsed response, or with the failure of the call.
template <typename T, typename Parser>
void CompleteCall(const http_result& result, call_kind call, Parser parse,
                  const store_handler<T>& handler) {
  if (!result.response) return handler(std::nullopt, ToFailure(result, call));
  if (result.response->status != kHttpOk)
    return handler(std::nullopt,
                   StatusToFailure(result.response->status, call));
  std::optional<T> value = parse(result.response->body);
  if (value) return handler(std::move(value), {});
  // The platform may have carried out a write whose response can't be parsed.
  handler(std::nullopt, {call == call_kind::kWrite ? failure_kind::kUnknown
                                                   : failure_kind::kInvalid,
                         "malformed response"});
}

class http_store : public object_store {
 public:
  http_store(asio::io_context& io, const endpoint& platform, duration timeout,
             std::string client)
      : io_(io), http_(io, platform, timeout), client_(std::move(client)) {}

  void Get(const std::string& key,
           store_handler<stored_object> handler) override {
    const auto parse = [key](std::string_view text) {
      auto object = internal::ParseObject(text);
      // A late second copy of another object's response is not this object.
      if (object && object->key != key) object.reset();
      return object;
    };
    SendRead<stored_object>("/v1/objects/" + internal::EncodeUrl(key), parse,
                            std::move(handler));
  }

  void List(const std::string& prefix,
            store_handler<object_batch> handler) override {
    SendRead<object_batch>("/v1/objects?prefix=" + internal::EncodeUrl(prefix),
                           internal::ParseBatch, std::move(handler));
  }

  void Put(const std::string& key, const std::string& value,
           uint64_t expected_version,
           store_handler<uint64_t> handler) override {
    if (value.size() > kMaxValueBytes)
      return RejectOversizedValue(std::move(handler));
    http_request request =
        MakeRequest("/v1/objects/" + internal::EncodeUrl(key));
    request.method = internal::http_method::kPut;
    request.body = value;
    if (expected_version == 0) {
      request.fields.push_back({"If-None-Match", "*"});
    } else {
      request.fields.push_back(
          {"If-Match", '"' + std::to_string(expected_version) + '"'});
    }
    // A late second copy of another write's response would pass for this one's.
    http_.SendOnNewConnection(
        request, duration{},
        [handler = std::move(handler)](const http_result& result) {
          CompleteCall(result, call_kind::kWrite, internal::ParseVersion,
                       handler);
        });
  }

  void Watch(const std::string& prefix, uint64_t revision, duration wait,
             store_handler<object_batch> handler) override {
    const std::string target =
        "/v1/watch?prefix=" + internal::EncodeUrl(prefix) +
        "&after=" + std::to_string(revision) +
        "&wait_ms=" + std::to_string(ToMs(wait));
    http_.SendOnNewConnection(
        MakeRequest(target), wait,
        [handler = std::move(handler)](const http_result& result) {
          CompleteCall(result, call_kind::kRead, internal::ParseBatch, handler);
        });
  }

  void ListVms(store_handler<std::vector<vm_entry>> handler) override {
    SendRead<std::vector<vm_entry>>("/v1/vms", internal::ParseVms,
                                    std::move(handler));
  }

 private:
  http_request MakeRequest(std::string target) const {
    http_request request;
    request.target = std::move(target);
    if (!client_.empty()) request.fields.push_back({"X-Client", client_});
    return request;
  }

  template <typename T, typename Parser>
  void SendRead(std::string target, Parser parse, store_handler<T> handler) {
    http_.Send(
        MakeRequest(std::move(target)),
        [parse, handler = std::move(handler)](const http_result& result) {
          CompleteCall(result, call_kind::kRead, parse, handler);
        });
  }

  void RejectOversizedValue(store_handler<uint64_t> handler) {
    asio::post(io_, [handler = std::move(handler)] {
      handler(std::nullopt,
              {failure_kind::kInvalid, "value is larger than 1 MiB"});
    });
  }

  asio::io_context& io_;
  http_client http_;
  std::string client_;
};

}  // namespace

std::unique_ptr<object_store> MakeHttpStore(asio::io_context& io,
                                            const endpoint& platform,
                                            duration timeout,
                                            std::string client) {
  return std::make_unique<http_store>(io, platform, timeout, std::move(client));
}

}  // namespace radishyard
