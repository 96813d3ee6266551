// Tests that diagnostics about settings and documents name the offending key
// and the remedy.

#include <gtest/gtest.h>

#include "Control/ControlSettings.h"
#include "Control/DocumentSchema.h"
#include "Daemon/Settings.h"
#include "Entry/EntrySettings.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace mimosashunt::test {
namespace {

std::string readAll(const std::filesystem::path &File) {
  std::ifstream In(File);
  std::stringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

/// Reads one settings file and returns its diagnostic without the folder, or
/// "good" if the settings are valid.
std::string diagnose(const std::filesystem::path &File) {
  bool IsEntry = File.filename().string().rfind("entry", 0) == 0;
  Json SettingsJson;
  std::string Diagnostic;
  Json Schema = IsEntry ? EntrySettings::schema() : ControlSettings::schema();
  if (!loadSettings(File.string(), Schema, SettingsJson, Diagnostic))
    return Diagnostic.substr(Diagnostic.find(File.filename().string()));
  EntrySettings Entry;
  ControlSettings Control;
  bool IsValid = IsEntry
                     ? EntrySettings::read(SettingsJson, Entry, Diagnostic)
                     : ControlSettings::read(SettingsJson, Control, Diagnostic);
  return IsValid ? "good" : File.filename().string() + ": " + Diagnostic;
}

// For each NAME.json in Tests/Daemon/Settings the expected diagnostic is in
// NAME.expected.
TEST(Settings, DiagnosticsNameKeyAndRemedy) {
  std::filesystem::path Folder =
      std::filesystem::path(MIMOSASHUNT_TESTS) / "Daemon" / "Settings";
  size_t CheckedFiles = 0;
  for (const auto &Item : std::filesystem::directory_iterator(Folder)) {
    if (Item.path().extension() != ".json")
      continue;
    std::filesystem::path Expected = Item.path();
    Expected.replace_extension(".expected");
    EXPECT_EQ(diagnose(Item.path()) + "\n", readAll(Expected))
        << Item.path().filename();
    ++CheckedFiles;
  }
  EXPECT_GE(CheckedFiles, 8U);
}

TEST(Settings, MissingFileIsReported) {
  Json SettingsJson;
  std::string Diagnostic;
  EXPECT_FALSE(loadSettings("/nowhere/x.json", EntrySettings::schema(),
                            SettingsJson, Diagnostic));
  EXPECT_EQ(Diagnostic,
            "/nowhere/x.json: cannot be read; pass --settings=FILE");
}

TEST(Documents, InvalidFieldIsReported) {
  Json Document = {{"team", "lessons"}, {"share", 0}, {"limit", 4}};
  SchemaFault Fault;
  EXPECT_FALSE(conforms(Document, documentSchema(), Fault));
  EXPECT_EQ(Fault.Key, "share");
  EXPECT_EQ(Fault.Remedy, "weight when the fleet is full");
  Document["share"] = 1;
  EXPECT_TRUE(conforms(Document, documentSchema(), Fault));
  Document["extra"] = true;
  EXPECT_FALSE(conforms(Document, documentSchema(), Fault));
}

} // namespace
} // namespace mimosashunt::test
