#!/usr/bin/env bash
# Installs the packages that the build needs on Debian. Prints nothing if all are
# installed already.
set -euo pipefail
PACKAGES=(g++ cmake ninja-build pkg-config git clang-format clang-tidy lld ccache
  libcpp-httplib-dev libssl-dev zlib1g-dev libbrotli-dev libnghttp2-dev
  prometheus-cpp-dev libyaml-cpp-dev libtclap-dev libboost-log-dev libboost-dev
  libcpputest-dev nlohmann-json3-dev libmsgpack-cxx-dev libxxhash-dev)
if dpkg -s "${PACKAGES[@]}" >/dev/null 2>&1; then
  exit 0
fi
apt-get update -qq
apt-get install -y --no-install-recommends "${PACKAGES[@]}"
