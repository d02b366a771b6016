#include "jackdawshunt/routing/origin_homes.h"

#include <string>
#include <vector>

#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "jackdawshunt/routing/prompt.h"

namespace jackdawshunt::routing {
namespace {

Upstream MakeEngine(const std::string& ip, const std::string& data_centre) {
  Upstream engine;
  engine.address = {ip, 8080};
  engine.data_centre = data_centre;
  return engine;
}

std::vector<const Upstream*> PointersTo(const std::vector<Upstream>& engines) {
  std::vector<const Upstream*> pointers;
  pointers.reserve(engines.size());
  for (const Upstream& engine : engines) {
    pointers.push_back(&engine);
  }
  return pointers;
}

// Guards against a crash: more data centres are counted than have a point on
// the ring, since two engines share an IP.
TEST(OriginHomesTest, EnginesOfOneIpInSeveralDataCentresAreOneHome) {
  for (const bool has_second_address : {false, true}) {
    std::vector<Upstream> engines = {MakeEngine("10.0.0.1", "a"),
                                     MakeEngine("10.0.0.1", "b"),
                                     MakeEngine("10.0.0.1", "c")};
    if (has_second_address) {
      engines.push_back(MakeEngine("10.0.0.2", "a"));
    }
    const OriginHomes homes(PointersTo(engines));
    for (uint64_t key = 1; key <= 100; ++key) {
      const uint64_t hash = HashOf(std::to_string(key));
      const auto chosen = homes.HomesOf(hash);
      EXPECT_THAT(chosen, ::testing::Contains("10.0.0.1"));
      EXPECT_EQ(chosen.size(), has_second_address ? 2u : 1u);
      EXPECT_THAT(homes.PossibleHomesOf(hash),
                  ::testing::UnorderedElementsAreArray(chosen));
    }
  }
}

// Guards against origins that another gateway does not find, since it chose
// another data centre for an IP that two engines share.
TEST(OriginHomesTest, HomesDoNotDependOnTheOrderOfTheEngines) {
  std::vector<Upstream> engines = {
      MakeEngine("10.0.0.1", "a"), MakeEngine("10.0.0.1", "b"),
      MakeEngine("10.0.0.2", "a"), MakeEngine("10.0.0.3", "b"),
      MakeEngine("10.0.0.4", "c"), MakeEngine("10.0.0.5", "a")};
  const OriginHomes homes(PointersTo(engines));
  const std::vector<Upstream> reversed(engines.rbegin(), engines.rend());
  const OriginHomes others(PointersTo(reversed));
  for (uint64_t key = 1; key <= 100; ++key) {
    const uint64_t hash = HashOf(std::to_string(key));
    EXPECT_EQ(homes.HomesOf(hash), others.HomesOf(hash));
    EXPECT_EQ(homes.PossibleHomesOf(hash), others.PossibleHomesOf(hash));
  }
}

}  // namespace
}  // namespace jackdawshunt::routing
