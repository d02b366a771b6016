#include "jackdawshunt/platform/records.h"

#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "jackdawshunt/base/testing/bytes_near.h"
#include "rapidcheck/gtest.h"

namespace jackdawshunt::platform {
namespace {

constexpr char kServer[] =
    R"({"service":"s","address":"10.128.0.9:8080","zone":"z","version":"v1",)"
    R"("slots":64,"state":"ready","coldRemainingMs":0,"sequence":4,)"
    R"("born":1790000000123})";

std::string ListOf(const std::string& items) {
  return R"({"items":[)" + items + R"(],"hasMore":false,"storeRevision":530})";
}

std::string Item(const std::string& name, const std::string& specification) {
  return R"({"metadata":{"name":")" + name +
         R"(","revision":7},"specification":)" + specification +
         R"(,"status":null})";
}

TEST(RecordsTest, DecodesUpstream) {
  const auto list =
      DecodeList(RecordKind::kUpstream, ListOf(Item("i-1", kServer)));
  ASSERT_TRUE(list.ok());
  EXPECT_EQ(list->revision.revision, 530u);
  ASSERT_EQ(list->records.size(), 1u);
  const auto* upstream =
      std::get_if<routing::Upstream>(&list->records[0].value);
  ASSERT_NE(upstream, nullptr);
  EXPECT_EQ(upstream->id, "i-1");
  EXPECT_EQ(upstream->service, "s");
  EXPECT_EQ(upstream->address, (http::Address{"10.128.0.9", 8080}));
  EXPECT_EQ(upstream->slots, 64u);
  EXPECT_EQ(upstream->software_version, "v1");
  EXPECT_EQ(upstream->started_unix_ms, 1790000000123);
  EXPECT_FALSE(upstream->is_draining);
}

// Guards against trust in a record that does not say whether its upstream is
// cold, and against one whose value cannot be read.
TEST(RecordsTest, DecodesColdTimeOfUpstream) {
  const auto decode = [](const std::string& value) {
    std::string record = kServer;
    const std::string field = R"("coldRemainingMs":0,)";
    record.replace(record.find(field), field.size(),
                   value.empty() ? "" : R"("coldRemainingMs":)" + value + ",");
    return DecodeUpstream("i-1", nlohmann::json::parse(record));
  };
  EXPECT_EQ(decode("0")->cold_remaining, kernel::Duration::zero());
  EXPECT_EQ(decode("2400")->cold_remaining, std::chrono::milliseconds(2400));
  EXPECT_EQ(decode("")->cold_remaining, std::nullopt);
  EXPECT_FALSE(decode(R"("soon")").ok());
  EXPECT_FALSE(decode("-1").ok());
}

TEST(RecordsTest, DecodesRateOfColdUpstreams) {
  const auto state = DecodeDesiredState(nlohmann::json::parse(
      R"({"version":1,"routes":[],"services":[)"
      R"({"name":"a","coldStartS":3.5,"coldPerS":9.1},{"name":"b"}]})"));
  ASSERT_TRUE(state.ok());
  EXPECT_EQ(state->services[0].cold_time, std::chrono::milliseconds(3500));
  EXPECT_EQ(state->services[0].cold_requests_per_second, 9.1);
  EXPECT_EQ(state->services[1].cold_requests_per_second, 0);
}

// Guards against an evacuation that is ignored because its object is empty or
// from another writer.
TEST(RecordsTest, NameOfAnEvacuationSuffices) {
  const auto list =
      DecodeList(RecordKind::kEvacuation,
                 ListOf(Item("zone-a", "{}") + "," + Item("zone-b", "7") +
                        R"(,{"metadata":{"name":"zone-c"}})"));
  ASSERT_TRUE(list.ok());
  ASSERT_EQ(list->records.size(), 3u);
  for (const Record& record : list->records) {
    EXPECT_TRUE(std::holds_alternative<Evacuation>(record.value));
  }
  const auto watch = DecodeWatch(
      RecordKind::kEvacuation,
      R"({"events":[{"removed":true,"object":{"metadata":{"name":"zone-a"}}}],)"
      R"("storeRevision":531})");
  ASSERT_TRUE(watch.ok());
  EXPECT_TRUE(std::holds_alternative<Absent>(watch->records.at(0).value));
}

TEST(RecordsTest, UpstreamWithoutSoftwareVersionIsUsable) {
  std::string no_version = kServer;
  no_version.replace(no_version.find(R"("version":"v1",)"), 15, "");
  std::string number = kServer;
  number.replace(number.find(R"("v1")"), 4, "12");
  const auto list =
      DecodeList(RecordKind::kUpstream,
                 ListOf(Item("i-1", no_version) + "," + Item("i-2", number)));
  ASSERT_TRUE(list.ok());
  const auto version = [&list](size_t i) {
    return std::get<routing::Upstream>(list->records.at(i).value)
        .software_version;
  };
  EXPECT_EQ(version(0), "");
  EXPECT_EQ(version(1), "12");
}

// Guards against one malformed record making the other records unusable.
TEST(RecordsTest, UnusableRecordDoesNotAffectOthers) {
  const std::string good = Item("i-good", kServer);
  std::string unknown_state = kServer;
  unknown_state.replace(unknown_state.find("ready"), 5, "asleep");
  std::string text_slots = kServer;
  text_slots.replace(text_slots.find("64"), 2, "\"64\"");
  std::string bad_bytes = kServer;
  bad_bytes.replace(bad_bytes.find("10.128"), 6, "\xff\xfe\x01");
  for (const std::string& bad :
       {std::string("null"), std::string("7"), std::string("{}"),
        std::string(R"({"service":"s"})"), unknown_state, text_slots, bad_bytes,
        std::string("\"\xc3\x28\x02\"")}) {
    const auto list = DecodeList(RecordKind::kUpstream,
                                 ListOf(Item("i-bad", bad) + "," + good));
    ASSERT_TRUE(list.ok()) << bad;
    ASSERT_EQ(list->records.size(), 2u) << bad;
    EXPECT_TRUE(std::holds_alternative<Absent>(list->records[0].value)) << bad;
    EXPECT_TRUE(
        std::holds_alternative<routing::Upstream>(list->records[1].value))
        << bad;
  }
}

std::string Replaced(const std::string& field, const std::string& value) {
  std::string record = kServer;
  const size_t name = record.find("\"" + field + "\":");
  const size_t begin = name + field.size() + 3;
  const size_t end = record.find_first_of(",}", begin);
  return record.replace(begin, end - begin, value);
}

// Entries that name no upstream to use, as another writer may leave them.
std::vector<std::string> OddServers() {
  const std::string nested =
      std::string(200000, '[') + std::string(200000, ']');
  std::string objects;
  for (int i = 0; i < 200000; ++i) {
    objects += R"({"specification":)";
  }
  objects += "0" + std::string(200000, '}');
  std::vector<std::string> odd = {nested, objects};
  for (const std::string& number :
       {std::string("1e999"), std::string("-1e999"), std::string("1e18"),
        std::string("-1"), std::string("4294967296"),
        std::string("18446744073709551615"),
        std::string("18446744073709551616"), std::string(400, '9'),
        std::string("NaN"), std::string("Infinity"), nested}) {
    odd.push_back(Replaced("slots", number));
  }
  for (const char* const number :
       {"1e999", "-1", "1e300", "9223372036854775808", "18446744073709551615",
        "NaN"}) {
    odd.push_back(Replaced("born", number));
    odd.push_back(Replaced("coldRemainingMs", number));
  }
  for (const char* const port : {"0", "65536", "70000", "-1", "1e3",
                                 "99999999999999999999", "", "8080 "}) {
    odd.push_back(
        Replaced("address", absl::StrCat("\"10.128.0.9:", port, "\"")));
  }
  for (const char* const ip : {"10.128.0.256", "h", "", "0.0.0.0", "[::]"}) {
    odd.push_back(Replaced("address", absl::StrCat("\"", ip, ":80\"")));
  }
  for (const std::string& other :
       {nested, std::string("{}"), std::string("true"), std::string("1e999")}) {
    odd.push_back(Replaced("version", other));
    odd.push_back(Replaced("service", other));
    odd.push_back(Replaced("state", other));
  }
  for (const char* const field : {"service", "zone", "version", "state"}) {
    for (const char* const text :
         {"\"\xff\xfe\"", "\"s\xe9\"", "\"s\x01\"", "\"\\ud800\""}) {
      odd.push_back(Replaced(field, text));
    }
  }
  return odd;
}

// Guards against a list that is not followed, a process that ends, and requests
// that are sent to no server, because of one odd entry.
TEST(RecordsTest, OddEntryNamesNoUpstreamAndKeepsOthers) {
  const std::string good = Item("i-good", kServer);
  for (const std::string& odd : OddServers()) {
    const std::string shown = odd.substr(0, 200);
    const std::string bad = Item("i-odd", odd);
    const auto list =
        DecodeList(RecordKind::kUpstream, ListOf(absl::StrCat(bad, ",", good)));
    ASSERT_TRUE(list.ok()) << shown;
    ASSERT_EQ(list->records.size(), 2u) << shown;
    EXPECT_TRUE(std::holds_alternative<Absent>(list->records[0].value))
        << shown;
    EXPECT_TRUE(
        std::holds_alternative<routing::Upstream>(list->records[1].value))
        << shown;
    const auto changes = DecodeWatch(
        RecordKind::kUpstream, absl::StrCat(R"({"events":[{"object":)", bad,
                                            R"(,"removed":false},{"object":)",
                                            good, R"(}],"storeRevision":9})"));
    ASSERT_TRUE(changes.ok()) << shown;
    ASSERT_EQ(changes->records.size(), 2u) << shown;
    EXPECT_TRUE(std::holds_alternative<Absent>(changes->records[0].value))
        << shown;
    EXPECT_TRUE(
        std::holds_alternative<routing::Upstream>(changes->records[1].value))
        << shown;
  }
}

// What no field of an upstream is read from does not make it unusable.
TEST(RecordsTest, OddValueInAnUnreadFieldIsIgnored) {
  for (const std::string& odd :
       {std::string("1e999"), std::string("NaN"), std::string("\"\\udc00\""),
        std::string(300000, '[') + std::string(300000, ']')}) {
    std::string record = kServer;
    record.insert(1, R"("extra":)" + odd + ",");
    const auto list =
        DecodeList(RecordKind::kUpstream, ListOf(Item("i-1", record)));
    ASSERT_TRUE(list.ok());
    EXPECT_TRUE(
        std::holds_alternative<routing::Upstream>(list->records.at(0).value));
  }
}

// Guards against a configuration or evacuations that are not followed because
// of another object of their kind, or of one odd number.
TEST(RecordsTest, OddEntryKeepsTheConfigurationAndEvacuations) {
  const std::string nested =
      std::string(200000, '[') + std::string(200000, ']');
  const std::string configuration = Item(
      "main",
      R"({"version":7,"routes":[{"name":"odd","host":"h","pathPrefix":"/o/",)"
      R"("kind":"safe","service":"s","timeoutMs":1e999},{"name":"long",)"
      R"("host":"h","pathPrefix":"/l/","kind":"safe","service":"s",)"
      R"("timeoutMs":18446744073709551615},{"name":"good","host":"h",)"
      R"("pathPrefix":"/g/","kind":"safe","service":"s","timeoutMs":1000}]})");
  for (const std::string& odd : {nested, std::string("1e999")}) {
    const auto list =
        DecodeList(RecordKind::kDesiredState,
                   ListOf(Item("other", odd) + "," + configuration));
    ASSERT_TRUE(list.ok());
    ASSERT_EQ(list->records.size(), 1u);
    const auto* state =
        std::get_if<routing::DesiredState>(&list->records[0].value);
    ASSERT_NE(state, nullptr);
    ASSERT_EQ(state->routes.size(), 1u);
    EXPECT_EQ(state->routes[0].name, "good");
    const auto evacuations =
        DecodeList(RecordKind::kEvacuation,
                   ListOf(Item("a", odd) + "," + Item("b", "{}")));
    ASSERT_TRUE(evacuations.ok());
    EXPECT_EQ(evacuations->records.size(), 2u);
  }
}

// Guards against a record whose name is another one than its writer chose, and
// a key that callers can guess.
TEST(RecordsTest, TextThatCannotBeDecodedNamesNothing) {
  const auto evacuations =
      DecodeList(RecordKind::kEvacuation,
                 ListOf(Item("z\xff", "{}") + "," + Item("b", "{}")));
  ASSERT_TRUE(evacuations.ok());
  ASSERT_EQ(evacuations->records.size(), 1u);
  EXPECT_EQ(evacuations->records[0].name, "b");
  const auto configuration = DecodeList(
      RecordKind::kDesiredState,
      ListOf(Item("main",
                  "{\"version\":7,\"routes\":[],\"tenants\":[{\"name\":"
                  "\"t\",\"apiKeys\":[\"\xff\",\"k\"]}]}")));
  ASSERT_TRUE(configuration.ok());
  const auto* state =
      std::get_if<routing::DesiredState>(&configuration->records.at(0).value);
  ASSERT_NE(state, nullptr);
  ASSERT_EQ(state->workspaces.size(), 1u);
  EXPECT_EQ(state->workspaces[0].api_keys, std::vector<std::string>{"k"});
}

TEST(RecordsTest, IgnoresEntriesWithoutName) {
  const auto list = DecodeList(
      RecordKind::kUpstream,
      ListOf(R"({}, 5, null, {"metadata":7}, {"metadata":{"name":3}},)" +
             Item("i-good", kServer)));
  ASSERT_TRUE(list.ok());
  EXPECT_EQ(list->records.size(), 1u);
}

TEST(RecordsTest, DecodesChanges) {
  const auto changes =
      DecodeWatch(RecordKind::kUpstream,
                  R"({"events":[{"removed":true,"object":)" +
                      Item("i-1", kServer) + R"(},{"removed":false,"object":)" +
                      Item("i-2", kServer) + R"(}],"storeRevision":533})");
  ASSERT_TRUE(changes.ok());
  EXPECT_EQ(changes->revision.revision, 533u);
  ASSERT_EQ(changes->records.size(), 2u);
  EXPECT_TRUE(std::holds_alternative<Absent>(changes->records[0].value));
  EXPECT_EQ(changes->records[1].name, "i-2");
}

TEST(RecordsTest, DecodesDesiredState) {
  const auto parsed = nlohmann::json::parse(R"({"version":7,"routes":[
    {"name":"r1","host":"h","pathPrefix":"/a/","kind":"streaming",
     "timeoutMs":8000,"targetLatencyMs":1000,"priority":1,
     "split":[{"service":"a","weight":90},{"service":"b","weight":10}],
     "attempts":2,"public":false,"sticky":true,"resumable":true},
    {"name":"broken","host":"h"},
    {"name":"r2","host":"h","pathPrefix":"/b/","kind":"unsafe",
     "timeoutMs":1000,"service":"b","attempts":1,"public":true}],
   "services":[{"name":"a","connectionLimit":360,
     "engine":{"slots":64,"kvTokens":557973}},{"name":"b"}],
   "limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,
     "idleTimeoutMs":15000,"tokensPerS":290000},
   "tenants":[{"name":"t","apiKeys":["k1","k2"],"priority":1}]})");
  const auto state = DecodeDesiredState(parsed);
  ASSERT_TRUE(state.ok());
  EXPECT_EQ(state->version, 7u);
  ASSERT_EQ(state->routes.size(), 2u);
  EXPECT_EQ(state->routes[0].kind, routing::RouteKind::kStream);
  EXPECT_EQ(state->routes[0].services.size(), 2u);
  EXPECT_TRUE(state->routes[0].is_repeatable());
  EXPECT_TRUE(state->routes[1].is_public);
  EXPECT_FALSE(state->routes[1].is_repeatable());
  ASSERT_TRUE(state->services[0].engine.has_value());
  EXPECT_EQ(state->services[0].engine->cache_tokens, 557973u);
  EXPECT_EQ(state->limits.tokens_per_second, 290000);
  EXPECT_EQ(state->workspaces[0].api_keys.size(), 2u);
}

// Guards against a configuration that opens all routes as it takes the last key
// away: only one that names no workspaces at all needs no keys.
TEST(RecordsTest, ConfigurationThatNamesWorkspacesRequiresKeys) {
  for (const char* const tenants : {"[]", "null", "{}", "7", R"([{"name":7}])",
                                    R"([{"name":"t","apiKeys":[]}])"}) {
    const auto state = DecodeDesiredState(nlohmann::json::parse(
        std::string(R"({"version":7,"routes":[],"tenants":)") + tenants + "}"));
    ASSERT_TRUE(state.ok()) << tenants;
    const routing::RoutingTable table(*state);
    EXPECT_TRUE(table.requires_keys()) << tenants;
    EXPECT_EQ(table.FindWorkspace("k"), nullptr) << tenants;
  }
  const auto open =
      DecodeDesiredState(nlohmann::json::parse(R"({"version":7,"routes":[]})"));
  ASSERT_TRUE(open.ok());
  EXPECT_FALSE(routing::RoutingTable(*open).requires_keys());
}

TEST(RecordsTest, AnswerWithoutRecordArrayIsAnError) {
  for (const char* const body : {"", "[]", "{}", "{\"items\":3}", "garbage"}) {
    EXPECT_FALSE(DecodeList(RecordKind::kUpstream, body).ok()) << body;
    EXPECT_FALSE(DecodeWatch(RecordKind::kDesiredState, body).ok()) << body;
  }
}

// Guards against an answer of the store that ends or stops the process.
RC_GTEST_PROP(RecordsTest, BytesNearAnAnswerStopTheReader, ()) {
  const std::string configuration = Item(
      "main",
      R"({"version":7,"tenants":[{"name":"t","apiKeys":["k"],"share":2}],)"
      R"("routes":[{"name":"r","host":"h","pathPrefix":"/","kind":"safe",)"
      R"("service":"s","timeoutMs":1000,"split":[{"service":"s","weight":1}]}]})");
  const std::string items = Item("i-1", kServer) + "," + configuration;
  const std::string list = *base::testing::BytesNear(ListOf(items));
  const std::string watch = *base::testing::BytesNear(
      absl::StrCat(R"({"events":[{"removed":false,"object":)",
                   Item("i-1", kServer), R"(},{"removed":false,"object":)",
                   configuration, R"(}],"storeRevision":531})"));
  for (const RecordKind kind :
       {RecordKind::kDesiredState, RecordKind::kUpstream,
        RecordKind::kEvacuation}) {
    const auto listed = DecodeList(kind, list);
    RC_ASSERT(listed.ok() || !listed.status().message().empty());
    const auto watched = DecodeWatch(kind, watch);
    RC_ASSERT(watched.ok() || !watched.status().message().empty());
  }
}

}  // namespace
}  // namespace jackdawshunt::platform
