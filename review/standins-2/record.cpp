// Lines go to the file at once, so that a run that is ended leaves its record.
#include "record.h"

#include <cstdio>
#include <iostream>

namespace review {

double record::Seconds(time_point at) const {
  return std::chrono::duration<double>(at - start_).count();
}

void record::Write(const std::string& line) {
  char stamp[32];
  std::snprintf(stamp, sizeof stamp, "%9.3f ", Seconds(steady::now()));
  out_ << stamp << line << std::endl;
}

void record::Break(const std::string& line) {
  ++breaks_;
  Write("BROKEN " + line);
  std::cout << "BROKEN " << line << "\n";
}

}  // namespace review
