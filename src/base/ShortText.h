//===- ShortText.h - Text that is stored inline -----------------*- C++ -*-===//

#ifndef POLLENSPOOL_BASE_SHORTTEXT_H
#define POLLENSPOOL_BASE_SHORTTEXT_H

#include <boost/container/string.hpp>
#include <string>
#include <string_view>

namespace pollenspool {

/// A text that is copied without an allocation up to 22 characters, where
/// std::string stores 15. Converts to std::string. Distinct objects may be used
/// concurrently; a single object must not be modified concurrently.
class ShortText : public boost::container::string {
public:
  ShortText() = default;
  ShortText(std::string_view Text)
      : boost::container::string(Text.data(), Text.size()) {}
  ShortText(const std::string &Text) : ShortText(std::string_view(Text)) {}
  ShortText(const char *Text) : ShortText(std::string_view(Text)) {}

  operator std::string() const { return {data(), size()}; }
  std::string_view view() const { return {data(), size()}; }

  friend bool operator==(const ShortText &A, const ShortText &B) {
    return A.view() == B.view();
  }
  friend bool operator!=(const ShortText &A, const ShortText &B) {
    return A.view() != B.view();
  }
  friend bool operator==(const ShortText &A, const std::string &B) {
    return A.view() == B;
  }
  friend bool operator==(const std::string &A, const ShortText &B) {
    return B == A;
  }
  friend bool operator!=(const ShortText &A, const std::string &B) {
    return !(A == B);
  }
  friend bool operator!=(const std::string &A, const ShortText &B) {
    return !(B == A);
  }
  friend bool operator<(const ShortText &A, const ShortText &B) {
    return A.view() < B.view();
  }
  friend std::string operator+(const ShortText &A, const char *B) {
    return std::string(A.view()).append(B);
  }
  friend std::string operator+(const ShortText &A, const std::string &B) {
    return std::string(A.view()).append(B);
  }
  friend std::string operator+(const std::string &A, const ShortText &B) {
    return std::string(A).append(B.view());
  }
  friend std::string operator+(const char *A, const ShortText &B) {
    return std::string(A).append(B.view());
  }
};

} // namespace pollenspool

#endif // POLLENSPOOL_BASE_SHORTTEXT_H
