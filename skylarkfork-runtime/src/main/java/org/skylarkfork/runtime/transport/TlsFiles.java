package org.skylarkfork.runtime.transport;

import java.nio.file.Path;

/**
 * PEM files for mutual TLS.
 *
 * @param certificate this daemon's certificate chain; its common name is the node name
 * @param key its private key, PKCS 8 without a password
 * @param trusted certificates of the authorities that sign daemons' certificates
 */
public record TlsFiles(Path certificate, Path key, Path trusted) {}
