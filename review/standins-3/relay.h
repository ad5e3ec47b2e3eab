// A proxy between one VM and the store. While it is cut, it takes connections
// and bytes and passes nothing on, as a partition does.
#pragma once
#include <array>
#include <memory>

#include "base/asio.h"

namespace review {

namespace asio = radishyard::asio;

class relay : public std::enable_shared_from_this<relay> {
 public:
  relay(asio::io_context& io, uint16_t target_port)
      : io_(io),
        acceptor_(io, {asio::ip::address_v4::loopback(), 0}),
        target_(asio::ip::address_v4::loopback(), target_port) {}

  uint16_t port() const { return acceptor_.local_endpoint().port(); }
  void SetCut(bool is_cut) { is_cut_ = is_cut; }

  void Accept() {
    acceptor_.async_accept(
        [self = shared_from_this()](radishyard::error_code error,
                                    asio::ip::tcp::socket socket) {
          if (error) return;
          std::make_shared<session>(self, std::move(socket))->Start();
          self->Accept();
        });
  }

 private:
  /// One connection and its counterpart to the store. Bytes that arrive during
  /// the cut are lost.
  class session : public std::enable_shared_from_this<session> {
   public:
    session(std::shared_ptr<relay> owner, asio::ip::tcp::socket socket)
        : owner_(std::move(owner)),
          near_(std::move(socket)),
          far_(owner_->io_) {}

    void Start() {
      far_.async_connect(owner_->target_, [self = shared_from_this()](
                                              radishyard::error_code error) {
        if (error) return self->Close();
        self->Pump(self->near_, self->far_, self->near_bytes_);
        self->Pump(self->far_, self->near_, self->far_bytes_);
      });
    }

   private:
    using buffer = std::array<char, 16'384>;

    void Pump(asio::ip::tcp::socket& from, asio::ip::tcp::socket& to,
              buffer& bytes) {
      from.async_read_some(
          asio::buffer(bytes), [self = shared_from_this(), &from, &to, &bytes](
                                   radishyard::error_code error, size_t size) {
            if (error) return self->Close();
            radishyard::error_code failed;
            if (!self->owner_->is_cut_)
              asio::write(to, asio::buffer(bytes.data(), size), failed);
            if (failed) return self->Close();
            self->Pump(from, to, bytes);
          });
    }

    void Close() {
      radishyard::error_code ignored;
      near_.close(ignored);
      far_.close(ignored);
    }

    std::shared_ptr<relay> owner_;
    asio::ip::tcp::socket near_;
    asio::ip::tcp::socket far_;
    buffer near_bytes_{};
    buffer far_bytes_{};
  };

  asio::io_context& io_;
  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::endpoint target_;
  bool is_cut_ = false;
};

}  // namespace review
