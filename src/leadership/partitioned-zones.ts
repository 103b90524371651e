/**
 * Determines which zones seem to be partitioned from the leader's zone, from its contact with the controllers in them.
 * Pure functions.
 */
import type { PlatformSettings } from '../settings/platform.js';
import type { LeaseExtensionGrants } from './lease-extension.js';

type ControllerZones = Pick<PlatformSettings, 'zone' | 'peers'>;

/**
 * Returns the zones in which no controller is in contact and at least one was until recently: their machines may be
 * healthy, and the controllers there may be extending their leases.
 */
export function partitionedZones(
  controllers: ControllerZones,
  grants: LeaseExtensionGrants,
  now: number,
): Set<string> {
  const partitioned = new Set<string>();
  for (const peer of controllers.peers)
    if (peer.zone !== controllers.zone && grants.hasRecentlyLostContact(peer.name, now))
      partitioned.add(peer.zone);
  for (const peer of controllers.peers)
    if (grants.isInContact(peer.name, now)) partitioned.delete(peer.zone);
  return partitioned;
}

/**
 * Returns the time until which controllers in the zone may extend worker leases there, counted from the latest contact
 * with any of them. Returns `Infinity` for the leader's own zone, where the leader itself may renew leases at any time,
 * and null if the zone has no controllers.
 */
export function zoneLeasesExtendableUntil(
  zone: string,
  controllers: ControllerZones,
  grants: LeaseExtensionGrants,
  extensionMs: number,
): number | null {
  if (zone === controllers.zone) return Infinity;
  const peersInZone = controllers.peers.filter((peer) => peer.zone === zone);
  if (peersInZone.length === 0) return null;
  return Math.max(...peersInZone.map((peer) => grants.lastContactAt(peer.name))) + extensionMs;
}
