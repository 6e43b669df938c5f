//===- WaveRows.cpp - Serialization of wave progress ----------------------===//

#include "instances/WaveRows.h"
#include "base/JsonText.h"
#include "base/ReadJson.h"

namespace pollenspool {

using Json = nlohmann::json;

std::string encodeWaveProgress(const WaveProgress &Progress) {
  Json Done = Json::array();
  for (const InstanceId &Id : Progress.m_Done)
    Done.push_back(Id.m_Text);
  return jsonText(Json{{"seen", Progress.m_SeenAt.count()},
                       {"done", Done},
                       {"complete", Progress.m_Complete}});
}

Result<WaveProgress> decodeWaveProgress(const std::string &Text) {
  return readJson<WaveProgress>(
      "decode wave progress", {}, Text, [](const Json &J) {
        WaveProgress P;
        P.m_SeenAt =
            std::chrono::milliseconds(J.at("seen").get<std::int64_t>());
        for (const Json &Id : J.at("done"))
          P.m_Done.insert(InstanceId(Id));
        P.m_Complete = J.at("complete");
        return P;
      });
}

} // namespace pollenspool
