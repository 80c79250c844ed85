import type { PeerCertificate } from "node:tls";

const DNS_PREFIX = "DNS:";

/**
 * Whether a certificate belongs to the node `nodeId`, i.e. has the id among
 * its DNS subject alternative names.
 *
 * @example
 * ```ts
 * const certificate = socket.getPeerCertificate();
 * if (!certificateNamesNode(certificate, hello.nodeId)) refuse();
 * ```
 */
export function certificateNamesNode(
  certificate: Pick<PeerCertificate, "subjectaltname">,
  nodeId: string,
): boolean {
  const names = certificate.subjectaltname?.split(", ") ?? [];
  return names.includes(`${DNS_PREFIX}${nodeId}`);
}
