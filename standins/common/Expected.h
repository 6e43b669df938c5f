//===- Expected.h - Error values of the stand-ins ---------------*- C++ -*-===//
//
// The stand-ins share no code with the product. Their errors are one line of
// text that names the failed step and the peer.
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

/// An error as one line of text.
struct Failure {
  std::string m_Text;
};

/// A value or a Failure. Reading the value of a failed result terminates the
/// program.
template <typename T>
using Expected = BOOST_OUTCOME_V2_NAMESPACE::result<
    T, Failure, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/// Describes the system call that failed in \p Step, based on errno.
inline Failure systemError(const std::string &Step) {
  return Failure{Step + ": " + std::strerror(errno)};
}

} // namespace standin

#endif // STANDIN_COMMON_EXPECTED_H
