/** Finds the region a caller belongs to by its address. */
import type { SteeringConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import type { IncomingMessage } from 'node:http'
import type { ClientBlockBuilder } from './clientBlockBuilder.js'
import { toPlainAddress, TrustedForwarders } from './forwardedFor.js'

/** Client addresses and their regions. */
export class ClientRegions {
  private readonly trusted: TrustedForwarders
  private regions: ReadonlySet<string> = new Set()

  /**
   * @param trustedForwarders CIDR blocks whose X-Forwarded-For is believed
   * @param ownRegion the region of callers that stand in no block
   * @param blocks builds the table of client blocks
   */
  constructor (
    trustedForwarders: readonly string[],
    private readonly ownRegion: string,
    private readonly blocks: ClientBlockBuilder
  ) {
    this.trusted = new TrustedForwarders(trustedForwarders)
  }

  /** @returns whether the client blocks in use are those of the configuration in force */
  get isCurrent (): boolean {
    return this.blocks.isCurrent
  }

  /**
   * Takes over the client blocks of a configuration. Until the table of many
   * blocks is built, callers are found by the one before.
   * @param configuration the configuration in force
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
    return this.trusted.findClient(request.socket.remoteAddress ?? '', getForwarded(request))
  }

  /**
   * @param request a caller's request
   * @returns X-Forwarded-For as the upstream is to see it
   */
  buildForwardedFor (request: IncomingMessage): string {
    return this.trusted.buildHeader(request.socket.remoteAddress ?? '', getForwarded(request))
  }

  /**
   * @param address of a socket
   * @returns whether it is a configured forwarder, which carries many clients
   */
  isForwarder (address: string): boolean {
    return this.trusted.has(toPlainAddress(address))
  }

  /**
   * @param request a caller's request
   * @returns the caller's region
   */
  find (request: IncomingMessage): string {
    const region = this.blocks.table.find(this.getAddress(request))
    // A table that is not replaced yet may name a region that the configuration
    // in force no longer has; look-ups know nothing of it and would answer 404.
    return region !== undefined && this.regions.has(region) ? region : this.ownRegion
  }
}

function getForwarded (request: IncomingMessage): string | undefined {
  const value = request.headers['x-forwarded-for']
  return Array.isArray(value) ? value.join(', ') : value
}
