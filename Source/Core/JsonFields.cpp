// Reads CBOR into a tree with a bound on its depth.

#include "Core/JsonFields.h"

namespace mimosashunt {

namespace {

/// Passes over a value and stops at one that is nested too deeply.
class DepthCheck : public nlohmann::json_sax<Json> {
public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t &) override { return true; }
  bool string(string_t &) override { return true; }
  bool binary(binary_t &) override { return true; }
  bool key(string_t &) override { return true; }
  bool start_object(size_t) override { return enter(); }
  bool end_object() override { return leave(); }
  bool start_array(size_t) override { return enter(); }
  bool end_array() override { return leave(); }
  bool parse_error(size_t, const std::string &,
                   const nlohmann::detail::exception &) override {
    return false;
  }

private:
  bool enter() {
    constexpr int MaxDepth = 64;
    return ++Depth <= MaxDepth;
  }
  bool leave() {
    --Depth;
    return true;
  }

  int Depth = 0;
};

} // namespace

Json readCbor(const std::string &Bytes) {
  DepthCheck Check;
  if (!Json::sax_parse(Bytes, &Check, Json::input_format_t::cbor))
    throw std::invalid_argument("malformed or too deeply nested CBOR");
  return Json::from_cbor(Bytes);
}

} // namespace mimosashunt
