/** Finds the region a caller belongs to by its address. */
import type { SteeringConfiguration } from '@umberspar/steering/common/configuration/configurationSchema'
import type { IncomingMessage } from 'node:http'
import { BlockList, isIP } from 'node:net'
import type { ClientBlockBuilder } from './clientBlockBuilder.js'

/** Client addresses and their regions. */
export class ClientRegions {
  private readonly trusted = new BlockList()
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
    for (const block of trustedForwarders) {
      const [address, bits] = block.split('/')
      this.trusted.addSubnet(address!, Number(bits), address!.includes(':') ? 'ipv6' : 'ipv4')
    }
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
    const direct = request.socket.remoteAddress ?? ''
    const forwarded = request.headers['x-forwarded-for']
    // Anyone can write the header; believed from anyone, it would let a caller
    // choose its region and escape limits by address.
    if (forwarded === undefined || !this.isTrusted(direct)) return direct
    const last = String(forwarded).split(',').at(-1)!.trim()
    return isIP(last) === 0 ? direct : last
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

  private isTrusted (address: string): boolean {
    const family = isIP(address)
    return family !== 0 && this.trusted.check(address, family === 6 ? 'ipv6' : 'ipv4')
  }
}
