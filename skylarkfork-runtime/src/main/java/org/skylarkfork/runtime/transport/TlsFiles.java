package org.skylarkfork.runtime.transport;

import java.nio.file.Path;

/**
 * PEM files for mutual TLS.
 *
 * @param certificate certificate chain of this daemon; the common name is the node name
 * @param key private key of the certificate, PKCS 8 without a password
 * @param trusted certificates of the authorities that sign the daemons' certificates
 */
public record TlsFiles(Path certificate, Path key, Path trusted) {}
