// The log4cxx appender for standard output. It never blocks: a line that does
// not fit into the pipe behind standard output is dropped and counted.
#pragma once
#include <log4cxx/appenderskeleton.h>

#include <cstdint>

namespace radishyard::internal {

// The macros of log4cxx refer to its namespaces without qualification.
namespace helpers = log4cxx::helpers;
namespace spi = log4cxx::spi;
using log4cxx::AppenderSkeleton;

/// \brief Writes each line completely or not at all.
class stdout_appender : public log4cxx::AppenderSkeleton {
 public:
  DECLARE_LOG4CXX_OBJECT(stdout_appender)
  BEGIN_LOG4CXX_CAST_MAP()
  LOG4CXX_CAST_ENTRY(stdout_appender)
  LOG4CXX_CAST_ENTRY_CHAIN(AppenderSkeleton)
  END_LOG4CXX_CAST_MAP()

  void append(const log4cxx::spi::LoggingEventPtr& event,
              log4cxx::helpers::Pool& pool) override;
  void close() override {}
  bool requiresLayout() const override { return true; }

 private:
  uint64_t dropped_ = 0;  ///< Lines dropped since the last one written.
};

}  // namespace radishyard::internal
