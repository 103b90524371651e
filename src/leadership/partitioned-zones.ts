/** Which zones are out of contact, told by their controllers: pure. */
import type { PlatformSettings } from '../settings/platform.js';
import type { LeaseExtensionGrants } from './lease-extension.js';

type Where = Pick<PlatformSettings, 'zone' | 'peers'>;

/** Zones whose controllers went silent all at once: their machines may be well, and be kept by them. */
export function partitionedZones(
  here: Where,
  grants: LeaseExtensionGrants,
  now: number,
): Set<string> {
  const cut = new Set<string>();
  for (const peer of here.peers)
    if (peer.zone !== here.zone && grants.outOfContact(peer.name, now)) cut.add(peer.zone);
  for (const peer of here.peers) if (grants.inContact(peer.name, now)) cut.delete(peer.zone);
  return cut;
}

/** Until when controllers in the zone may extend worker leases there; null if it has none. */
export function leasesExtendableUntil(
  zone: string,
  here: Where,
  grants: LeaseExtensionGrants,
  extensionMs: number,
): number | null {
  if (zone === here.zone) return Infinity;
  const there = here.peers.filter((peer) => peer.zone === zone);
  if (there.length === 0) return null;
  return Math.max(...there.map((peer) => grants.contactAt(peer.name))) + extensionMs;
}
