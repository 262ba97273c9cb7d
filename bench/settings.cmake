qr_bench(NAME benchsettings SOURCES settings.cpp LIBS qr_settings)
