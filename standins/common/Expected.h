//===- Expected.h - Errors of the stand-ins as values -----------*- C++ -*-===//
//
// The stand-ins share no code with the product; their errors are one line of
// text that says the step and the peer.
//
//===----------------------------------------------------------------------===//

#ifndef STANDIN_COMMON_EXPECTED_H
#define STANDIN_COMMON_EXPECTED_H

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <cerrno>
#include <cstring>
#include <string>

namespace standin {

/// A line of text that says what failed.
struct Failure {
  std::string m_Text;
};

/// A value or a Failure; has to be checked or handed on.
template <typename T>
using Expected = BOOST_OUTCOME_V2_NAMESPACE::result<
    T, Failure, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/// The text of a failed system call in \p Step, taken from errno.
inline Failure systemError(const std::string &Step) {
  return Failure{Step + ": " + std::strerror(errno)};
}

} // namespace standin

#endif // STANDIN_COMMON_EXPECTED_H
