/** Determines a caller's region by its address. */
import type { SteeringConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import type { IncomingMessage } from 'node:http'
import type { ClientBlockBuilder } from './clientBlockBuilder.js'
import { toNormalizedAddress, TrustedForwarders } from './forwardedFor.js'

/** Maps client addresses to regions. */
export class ClientRegions {
  private readonly trustedForwarders: TrustedForwarders
  private regions: ReadonlySet<string> = new Set()

  /**
   * @param trustedForwarders CIDR blocks of proxies whose X-Forwarded-For is trusted
   * @param defaultRegion the region of callers that are in no client block
   * @param blocks builds the table of client blocks
   */
  constructor (
    trustedForwarders: readonly string[],
    private readonly defaultRegion: string,
    private readonly blocks: ClientBlockBuilder
  ) {
    this.trustedForwarders = new TrustedForwarders(trustedForwarders)
  }

  /** @returns whether the client blocks in use are those of the current configuration */
  get isCurrent (): boolean {
    return this.blocks.isCurrent
  }

  /**
   * Applies the client blocks of a configuration. Until a large table is built, the
   * previous one stays in use.
   * @param configuration the current configuration
   */
  update (configuration: SteeringConfiguration): void {
    this.regions = new Set(Object.keys(configuration.regions))
    this.blocks.update(Object.entries(configuration.regions).map(([group, { clientBlocks }]) => ({ group, prefixes: clientBlocks })))
  }

  /**
   * @param request a caller's request
   * @returns the caller's address
   */
  getAddress (request: IncomingMessage): string {
    return this.trustedForwarders.findClient(request.socket.remoteAddress ?? '', getForwardedForHeader(request))
  }

  /**
   * @param request a caller's request
   * @returns the value of X-Forwarded-For for the upstream
   */
  buildForwardedFor (request: IncomingMessage): string {
    return this.trustedForwarders.buildHeader(request.socket.remoteAddress ?? '', getForwardedForHeader(request))
  }

  /**
   * @param address a socket's remote address
   * @returns whether it is a configured forwarder, which carries the connections of many clients
   */
  isForwarder (address: string): boolean {
    return this.trustedForwarders.isForwarder(toNormalizedAddress(address))
  }

  /**
   * @param request a caller's request
   * @returns the caller's region
   */
  find (request: IncomingMessage): string {
    const region = this.blocks.table.find(this.getAddress(request))
    // A table that isn't replaced yet may name a region that the current configuration
    // no longer has. Look-ups don't know that region and would answer 404.
    return region !== undefined && this.regions.has(region) ? region : this.defaultRegion
  }
}

function getForwardedForHeader (request: IncomingMessage): string | undefined {
  const value = request.headers['x-forwarded-for']
  return Array.isArray(value) ? value.join(', ') : value
}
