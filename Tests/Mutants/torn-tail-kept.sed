# test: StorageTests.DiskLog.DamageInTheMiddleIsRefused
# file: Source/Storage/RecordFile.cpp
# Damage is treated as an incomplete record at the end of the file.
s/^      if (hasValidRecordAfter(Bytes, Result.ValidBytes, Sequence))/      if (false)/
