// Tests of the encoding of carried orders and results: it is that of earlier
// versions, so control VMs of both can carry for each other, and a batch that
// cannot be read whole is refused.

#include "Fleet/CarriedOrders.h"
#include "Core/JsonFields.h"
#include "Support/Mutation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace mimosashunt::test {
namespace {

std::string generalCbor(const Json &Value) {
  std::string Bytes;
  Json::to_cbor(Value, Bytes);
  return Bytes;
}

RC_GTEST_PROP(CarriedOrders, GiveTheBytesOfPositionalArrays,
              (const std::string &Text, uint64_t Number, int64_t Signed,
               uint32_t Small)) {
  TaskId Task{Text, 1, Small, 3};
  Json TaskRow = Json::array({Text, 1, Small, 3});
  WorkerKey Worker{Text, Signed};
  OrderBatch Batch{
      Number,
      Text,
      {{1, Worker, "a",
        StartOrder{Task, Small, Text, Signed, Number, "saved", "ticket"}},
       {2, Worker, "a", StopOrder{Task, Small, Number}},
       {3, Worker, "a", PaceOrder{Task, Small, 55, Number}},
       {4, Worker, "a", PollOrder{Signed, Number, 12, 50}},
       {5, Worker, "a", PollOrder{std::nullopt, Number, 12, 50}},
       {6, Worker, "a", RenewOrder{Signed, Number}}}};
  std::vector<Json> Orders = {Json::array({"start", TaskRow, Small, Text,
                                           Signed, Number, "saved", "ticket"}),
                              Json::array({"stop", TaskRow, Small, Number}),
                              Json::array({"pace", TaskRow, Small, 55, Number}),
                              Json::array({"poll", Signed, Number, 12, 50}),
                              Json::array({"poll", nullptr, Number, 12, 50}),
                              Json::array({"renew", Signed, Number})};
  Json Rows = Json::array();
  for (size_t I = 0; I < Orders.size(); ++I)
    Rows.push_back(Json::array({I + 1, Text, Signed, "a", Orders[I]}));
  std::string Bytes = encodeOrders(Batch);
  RC_ASSERT(Bytes == generalCbor(Json::array({Number, Text, Rows})));
  OrderBatch Decoded;
  RC_ASSERT(decodeOrders(Bytes, Decoded));
  RC_ASSERT(encodeOrders(Decoded) == Bytes);
}

TEST(CarriedResults, KeepWhatAResponseMayHide) {
  // A leader that does not hear of it takes what is not listed for ended.
  PollResponse Response{OrderOutcome::Accepted, 5, {}, {}};
  Response.HasMoreEnds = true;
  Response.UnreadableRuns = {{"a", 0, 0, 1}, {"a", 0, 0, 2}};
  Response.UnreadableEnds = {{"b", 0, 0, 0}};
  std::vector<CarriedResult> Decoded;
  ASSERT_TRUE(decodeResults(encodeResults({{7, Response}}), Decoded));
  const PollResponse &Result = Decoded.at(0).Response;
  EXPECT_TRUE(Result.HasMoreEnds);
  EXPECT_EQ(Result.UnreadableRuns, Response.UnreadableRuns);
  EXPECT_EQ(Result.UnreadableEnds, Response.UnreadableEnds);
}

RC_GTEST_PROP(CarriedResults, GiveTheBytesOfPositionalArrays,
              (std::string Text, uint64_t Number, int64_t Signed,
               int32_t Percent)) {
  TaskId Task{Text, 1, 2, 3};
  Json TaskRow = Json::array({Text, 1, 2, 3});
  std::vector<CarriedResult> Results = {
      {Number,
       {OrderOutcome::Unanswered,
        Signed,
        {{Task, 4, Text, Percent, Signed}, {Task, 5, "", 0, 0}},
        {{Number, Task, 6, EndKind::Alone, Text}}}},
      {7,
       {OrderOutcome::Restarted,
        std::nullopt,
        {},
        {},
        Signed,
        true,
        {Task},
        {}}}};
  Json Expected = Json::array(
      {Json::array(
           {Number, static_cast<int>(OrderOutcome::Unanswered), Signed,
            Json::array({Json::array({TaskRow, 4, Text, Percent, Signed}),
                         Json::array({TaskRow, 5, "", 0, 0})}),
            Json::array({Json::array(
                {Number, TaskRow, 6, static_cast<int>(EndKind::Alone), Text})}),
            0, false, Json::array(), Json::array()}),
       Json::array({7, static_cast<int>(OrderOutcome::Restarted), nullptr,
                    Json::array(), Json::array(), Signed, true,
                    Json::array({TaskRow}), Json::array()})});
  std::string Bytes = encodeResults(Results);
  RC_ASSERT(Bytes == generalCbor(Expected));
  std::vector<CarriedResult> Decoded;
  RC_ASSERT(decodeResults(Bytes, Decoded));
  RC_ASSERT(encodeResults(Decoded) == Bytes);
}

Json validOrders() {
  return Json::array(
      {4, "results",
       Json::array({Json::array(
           {1, "w", 77, "address",
            Json::array({"stop", Json::array({"job", 1, 2, 3}), 4, 6})})})});
}

TEST(CarriedOrders, FurtherElementsArePassedOver) {
  Json Orders = validOrders();
  Orders.push_back("new");
  Orders[2][0].push_back({{"new", 1}});
  Orders[2][0][4].push_back(nullptr);
  Orders[2][0][4][1].push_back(0.5);
  OrderBatch Decoded;
  ASSERT_TRUE(decodeOrders(generalCbor(Orders), Decoded));
  ASSERT_EQ(Decoded.Orders.size(), 1U);
  EXPECT_EQ(std::get<StopOrder>(Decoded.Orders.front().Order).Token, 6U);
}

TEST(CarriedOrders, WhatIsNotWholeIsRefused) {
  std::string Bytes = generalCbor(validOrders());
  OrderBatch Whole;
  ASSERT_TRUE(decodeOrders(Bytes, Whole));
  for (size_t Length = 0; Length < Bytes.size(); ++Length) {
    OrderBatch Ignored;
    EXPECT_FALSE(decodeOrders(Bytes.substr(0, Length), Ignored)) << Length;
  }
  std::vector<Json> Malformed(5, validOrders());
  Malformed[0][2][0][4][0] = "unknown";
  Malformed[1][2][0][4][2] = int64_t(1) << 40; // An attempt out of range.
  Malformed[2][2][0][4].erase(3);
  Malformed[3][0] = -1;
  Malformed[4][2] = {{"no", "array"}};
  for (const Json &Orders : Malformed) {
    OrderBatch Ignored;
    EXPECT_FALSE(decodeOrders(generalCbor(Orders), Ignored)) << Orders;
  }
}

TEST(CarriedResults, WhatIsNotWholeIsRefused) {
  Json Result = Json::array({1, 0, 5, Json::array(), Json::array(), 0, false});
  std::vector<CarriedResult> Ignored;
  ASSERT_TRUE(decodeResults(generalCbor(Json::array({Result})), Ignored));
  std::vector<Json> Malformed(6, Result);
  Malformed[0][1] = static_cast<int>(OrderOutcome::Restarted) + 1;
  Malformed[1][2] = "noon";
  Malformed[2].erase(4);
  Malformed[4].erase(6);
  Malformed[5][6] = 1;
  Malformed[3][4].push_back(
      Json::array({1, Json::array({"job", 1, 2, 3}), 1,
                   static_cast<int>(EndKind::Alone) + 1, ""}));
  for (const Json &Row : Malformed)
    EXPECT_FALSE(decodeResults(generalCbor(Json::array({Row})), Ignored))
        << Row;
}

RC_GTEST_PROP(CarriedOrders, ArbitraryBytesDoNotCrash,
              (const std::string &Bytes)) {
  OrderBatch Batch;
  decodeOrders(Bytes, Batch);
  std::vector<CarriedResult> Results;
  decodeResults(Bytes, Results);
}

RC_GTEST_PROP(CarriedOrders, DamagedBatchesAreReadOrRefused, ()) {
  OrderBatch Batch{
      4,
      "127.0.0.1:1",
      {{1, {"w", 2}, "a", StartOrder{{"j", 1, 2, 3}, 4, "p", 5, 6, "c", "t"}},
       {2, {"w", 2}, "a", PollOrder{5, 6, 12, 50}}}};
  decodeOrders(damaged(encodeOrders(Batch)), Batch);
  PollResponse Response{OrderOutcome::Accepted, 5, {}, {}};
  Response.Running.push_back({{"j", 1, 2, 3}, 1, "", 2, 3});
  std::vector<CarriedResult> Results = {{7, Response}};
  decodeResults(damaged(encodeResults(Results)), Results);
}

} // namespace
} // namespace mimosashunt::test
