import type { PeerCertificate } from "node:tls";

const DNS_PREFIX = "DNS:";

/**
 * True when a certificate is that of the node `nodeId`: it names the id as a
 * DNS name.
 *
 * @example
 * ```ts
 * if (!namesNode(socket.getPeerCertificate(), hello.nodeId)) refuse();
 * ```
 */
export function namesNode(
  certificate: Pick<PeerCertificate, "subjectaltname">,
  nodeId: string,
): boolean {
  const names = certificate.subjectaltname?.split(", ") ?? [];
  return names.includes(`${DNS_PREFIX}${nodeId}`);
}
